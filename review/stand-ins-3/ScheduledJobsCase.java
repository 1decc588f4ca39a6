import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Scheduled jobs of one small task a minute for 13 days are handed in; none is due yet. Beside them
 * a few plain jobs run. Arguments: folder, trouble (0: the schedules are of an hour each).
 */
final class ScheduledJobsCase {
  private static final int JOBS = 100;
  private static final int TIMES = 13 * 24 * 60;
  private static final int SHORT_TIMES = 60;
  private static final int GAP_MILLIS = 200;
  private static final int FINISH_MILLIS = 14_000;

  /** How long a job is asked for, at all entries in turn, until it counts as unanswered. */
  private static final int ASKING_MILLIS = 20_000;

  private static final Random RANDOM = new Random(63);

  public static void main(String[] arguments) throws Exception {
    Setup.main(
        arguments,
        (task, spec) -> new Worker.Behaviour(200, 64, 900, false, ""),
        ScheduledJobsCase::run);
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Recorder record = setup.record;
    long due = System.currentTimeMillis() + 3_600_000;
    String times = ",\"times\":" + (trouble ? TIMES : SHORT_TIMES) + ",\"start_at_ms\":" + due
        + ",\"interval_ms\":60000";
    Set<String> scheduled = ConcurrentHashMap.newKeySet();
    Set<String> plain = ConcurrentHashMap.newKeySet();
    ExecutorService threads = Executors.newCachedThreadPool();
    for (int i = 0; i < JOBS; i++) {
      handIn(setup, threads, scheduled, times);
      if (i % 4 == 0) {
        handIn(setup, threads, plain, "");
      }
      Thread.sleep(GAP_MILLIS);
    }
    record.say("accepted: %d scheduled jobs, %d plain ones", scheduled.size(), plain.size());
    Thread.sleep(FINISH_MILLIS);
    Map<String, Integer> states = new ConcurrentHashMap<>();
    long until = record.millis() + ASKING_MILLIS;
    List<String> scheduledIds = List.copyOf(scheduled);
    List<String> plainIds = List.copyOf(plain);
    ask(setup, threads, scheduledIds, until, "queued", states);
    ask(setup, threads, plainIds, until, "done", states);
    threads.shutdown();
    threads.awaitTermination(ASKING_MILLIS + 15_000, TimeUnit.MILLISECONDS);
    record.say("answers from %d ms after the last job was handed in: %s", FINISH_MILLIS, states);
    boolean kept =
        states.getOrDefault("scheduled jobs that are queued", 0) == scheduledIds.size()
            && states.getOrDefault("plain jobs that are done", 0) == plainIds.size();
    return kept ? 0 : 1;
  }

  private static void handIn(
      Setup setup, ExecutorService threads, Set<String> accepted, String times) {
    String id = String.format("%016x", RANDOM.nextLong());
    String body =
        "{\"spec\":\"x\",\"phases\":[{\"count\":1,\"cpu\":200,\"mem_mb\":64,\"est_ms\":900}]" + times
            + "}";
    threads.execute(
        () -> {
          if (setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2) {
            accepted.add(id);
          }
        });
  }

  private static void ask(
      Setup setup,
      ExecutorService threads,
      Collection<String> ids,
      long until,
      String expected,
      Map<String, Integer> states) {
    String kind = expected.equals("done") ? "plain" : "scheduled";
    for (String id : ids) {
      threads.execute(
          () -> {
            Client.Answer answer = new Client.Answer(0, "");
            while (answer.status() != 200 && answer.status() != 410
                && setup.record.millis() < until) {
              answer = setup.client.callUntilAnswered("GET", "/q/" + id, "", 1);
            }
            String state =
                answer.status() == 200
                    ? Http.state(answer.body())
                    : "answered " + answer.status() + " at last";
            states.merge(kind + " jobs that are " + state, 1, Integer::sum);
          });
    }
  }
}
