import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * One job with many small tasks that save their progress, and plain jobs beside it. Arguments:
 * folder, trouble (0: the job has a tenth of the tasks).
 */
final class WideJobCase {
  private static final int TASKS = Integer.getInteger("tasks", 12_000);
  private static final int PLAIN_JOBS = 96;
  private static final int WORK_MILLIS = 1_200;
  private static final int HANDING_IN_MILLIS = 100;
  private static final int IDLE_MILLIS = 3_000;
  private static final int LATEST_MILLIS = 92_000;

  private static final Random RANDOM = new Random(63);

  public static void main(String[] arguments) throws Exception {
    Setup.main(
        arguments,
        (task, spec) ->
            spec.equals("wide")
                ? new Worker.Behaviour(60, 200, WORK_MILLIS, false, "00000000")
                : new Worker.Behaviour(60, 200, 500, false, ""),
        WideJobCase::run);
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Recorder record = setup.record;
    int tasks = trouble ? TASKS : TASKS / 10;
    String wide = handIn(setup, "wide", tasks, ",\"checkpointable\":true");
    if (wide.isEmpty()) {
      record.say("the wide job is not accepted");
      return 2;
    }
    long quietSince = record.millis();
    while (record.millis() < LATEST_MILLIS - 26_000 && record.millis() - quietSince < 5_000) {
      Thread.sleep(100);
      quietSince = setup.used() > 0 ? record.millis() : quietSince;
    }
    long starts = setup.workers.stream().mapToLong(worker -> worker.starts).sum();
    record.say("%d of the %d tasks have started; the executors are idle since %d ms", starts, tasks,
        record.millis() - quietSince);
    Set<String> plain = new HashSet<>();
    for (int i = 0; i < PLAIN_JOBS; i++) {
      String id = handIn(setup, "plain", 1, "");
      if (!id.isEmpty()) {
        plain.add(id);
      }
      Thread.sleep(20);
    }
    long handedIn = record.millis();
    long usedSince = handedIn;
    while (record.millis() - handedIn < 17_000) {
      usedSince = setup.used() >= 24_000 ? record.millis() : usedSince;
      Thread.sleep(100);
    }
    Map<String, Integer> states = new HashMap<>();
    Set<String> running = new HashSet<>();
    setup.workers.forEach(
        worker -> worker.running().forEach(task -> running.add(task.substring(0, 16))));
    int stuck = 0;
    for (String id : plain) {
      String state = state(setup, id);
      states.merge(state, 1, Integer::sum);
      boolean idle = !state.equals("done") && !running.contains(id);
      stuck += idle && record.millis() - usedSince > IDLE_MILLIS ? 1 : 0;
    }
    String wideState = state(setup, wide);
    record.say("the wide job is %s, %s running; %d plain jobs: %s; %d of them are not done and have"
        + " nothing at work", wideState, running.contains(wide) ? "and" : "and nothing of it",
        plain.size(), states, stuck);
    boolean wideStuck = !wideState.equals("done") && setup.used() == 0;
    return stuck > 0 || wideStuck ? 1 : 0;
  }

  private static String state(Setup setup, String id) {
    Client.Answer answer = setup.client.callUntilAnswered("GET", "/q/" + id, "", 4);
    return answer.status() == 200 ? Http.state(answer.body()) : "answered " + answer.status();
  }

  /** Returns the id of the job, or an empty string if it was not accepted. */
  private static String handIn(Setup setup, String spec, int count, String more) {
    String id = String.format("%016x", RANDOM.nextLong());
    String body =
        "{\"spec\":\"" + spec + "\",\"phases\":[{\"count\":" + count
            + ",\"cpu\":60,\"mem_mb\":200,\"est_ms\":1000" + more + "}]}";
    return setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2
        ? id
        : "";
  }
}
