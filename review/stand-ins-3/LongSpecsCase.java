import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Many small jobs whose specs are of the longest length are handed in while the side process of the
 * only executor with their label is killed and starts again. Arguments: folder, trouble (0 or 1).
 */
final class LongSpecsCase {
  private static final int JOBS = 300;
  private static final int SPEC_BYTES = 4_000;
  private static final int HANDING_IN_MILLIS = 3_600;
  private static final int DARK_MILLIS = 3_500;
  private static final int FINISH_MILLIS = 14_000;
  private static final int IDLE_MILLIS = 3_000;
  private static final int TASK_CPU = 40;

  private static final Map<String, String> SPECS = new ConcurrentHashMap<>();
  private static final Random RANDOM = new Random(63);

  public static void main(String[] arguments) throws Exception {
    Setup.main(
        arguments,
        (task, spec) ->
            spec.equals(SPECS.get(task.substring(0, 16)))
                ? new Worker.Behaviour(TASK_CPU, 64, 900, false, "")
                : null,
        LongSpecsCase::run);
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Recorder record = setup.record;
    Set<String> first = handIn(setup, 6, 300);
    Thread.sleep(3_000);
    for (String id : first) {
      if (!setup.client.callUntilAnswered("GET", "/q/" + id, "", 5).body().contains("done")) {
        record.say("a first job is not done");
        return 2;
      }
    }
    Thread disruption = new Thread(() -> disrupt(setup.sides.get(0)));
    if (trouble) {
      disruption.start();
      Thread.sleep(100);
    }
    Set<String> accepted = handIn(setup, JOBS, HANDING_IN_MILLIS);
    disruption.join();
    record.say("%d of %d jobs accepted", accepted.size(), JOBS);
    long begin = record.millis();
    Map<String, Long> idleSince = new HashMap<>();
    long fullSince = begin;
    while (record.millis() - begin < FINISH_MILLIS + 10_000) {
      Set<String> active = new HashSet<>();
      setup.workers.forEach(
          worker -> worker.running().forEach(task -> active.add(task.substring(0, 16))));
      Worker labelled = setup.workers.get(0);
      boolean room = labelled.cpu() - labelled.used() >= 2 * TASK_CPU && setup.used() < 24_000;
      fullSince = room ? fullSince : record.millis();
      for (String id : accepted) {
        if (active.contains(id)) {
          idleSince.remove(id);
        } else {
          idleSince.putIfAbsent(id, record.millis());
        }
      }
      Thread.sleep(100);
    }
    long asked = record.millis();
    Map<String, Integer> states = new HashMap<>();
    int waiting = 0;
    for (String id : accepted) {
      Client.Answer answer = setup.client.callUntilAnswered("GET", "/q/" + id, "", 5);
      String state = answer.status() == 200 ? Http.state(answer.body()) : answer.status() + "";
      states.merge(state, 1, Integer::sum);
      long idle = asked - Math.max(fullSince, idleSince.getOrDefault(id, asked));
      if (!state.equals("done") && idle >= IDLE_MILLIS) {
        waiting++;
      }
    }
    record.say("jobs are asked for %d ms after the last was handed in", asked - begin);
    record.say("states: %s; not done and with nothing at work for %d ms while there was room: %d;"
        + " processors in use: %d of 48000", states, IDLE_MILLIS, waiting, setup.used());
    return waiting > 0 ? 1 : 0;
  }

  private static void disrupt(Deployment.Node side) {
    try {
      side.kill();
      Thread.sleep(DARK_MILLIS);
      side.start();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Set<String> handIn(Setup setup, int jobs, int millis) throws InterruptedException {
    Set<String> accepted = ConcurrentHashMap.newKeySet();
    ExecutorService threads = Executors.newFixedThreadPool(24);
    for (int i = 0; i < jobs; i++) {
      String id = String.format("%016x", RANDOM.nextLong());
      StringBuilder text = new StringBuilder("job " + id + " ");
      while (text.length() < SPEC_BYTES) {
        text.append((char) ('a' + RANDOM.nextInt(26)));
      }
      SPECS.put(id, text.toString());
      String body =
          "{\"spec\":\"" + text + "\",\"phases\":[{\"count\":1,\"cpu\":" + TASK_CPU
              + ",\"mem_mb\":64,\"est_ms\":900,\"required_label\":\"b\"}]}";
      threads.execute(
          () -> {
            if (setup.client.callUntilAnswered("POST", "/q/" + id, body, 5).status() / 100 == 2) {
              accepted.add(id);
            }
          });
      Thread.sleep(millis / jobs);
    }
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return accepted;
  }
}
