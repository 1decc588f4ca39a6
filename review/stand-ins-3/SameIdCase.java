import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Tasks that last run on eight executors; one of them crashes and starts again under its id.
 * Arguments: folder, trouble (0 or 1).
 */
final class SameIdCase {
  private static final int EXECUTORS = 8;
  private static final int WATCHES = 32;
  private static final int DOWN_MILLIS = 2_000;

  /** Less than `heartbeat_ms`. */
  private static final int FIRST_BEAT_MILLIS = 1_000;

  private static final int OBSERVED_MILLIS = 40_000;

  /** The rule LOST: 3 s with nothing at work, from 6 s after the last run of a task that lasts. */
  private static final int ABSENT_MILLIS = 9_000;

  private static final Random RANDOM = new Random(63);

  public static void main(String[] arguments) throws Exception {
    Setup.mainWithBirths(
        EXECUTORS,
        arguments,
        (task, spec) ->
            spec.equals("watch")
                ? new Worker.Behaviour(500, 500, 500, true, "")
                : new Worker.Behaviour(200, 64, 900, false, ""),
        SameIdCase::run);
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Recorder record = setup.record;
    Set<String> watches = new HashSet<>();
    for (int i = 0; i < WATCHES; i++) {
      watches.add(handIn(setup, "watch", ",\"long_running\":true"));
    }
    Thread.sleep(4_000);
    if (active(setup, watches).size() < WATCHES || setup.workers.get(0).running().isEmpty()) {
      record.say("the tasks that last don't run");
      return 2;
    }
    record.say("of %d tasks that last, i-1 runs %d", WATCHES,
        setup.workers.get(0).running().size());
    if (trouble) {
      setup.workers.get(0).crash();
      Thread.sleep(DOWN_MILLIS);
      setup.restartWorker(0, FIRST_BEAT_MILLIS);
    }
    long begin = record.millis();
    Map<String, Long> seen = new HashMap<>();
    watches.forEach(watch -> seen.put(watch, begin));
    while (record.millis() - begin < OBSERVED_MILLIS) {
      active(setup, watches).forEach(watch -> seen.put(watch, record.millis()));
      Thread.sleep(50);
    }
    int absent = 0;
    long longest = 0;
    for (String watch : watches) {
      long gone = record.millis() - seen.get(watch);
      longest = Math.max(longest, gone);
      absent += gone >= ABSENT_MILLIS ? 1 : 0;
      setup.client.callUntilAnswered("GET", "/q/" + watch, "", 3);
    }
    record.say("%d ms after the executor is back: %d of %d tasks that last have been absent for %d ms or"
        + " more, the longest for %d ms; processors in use: %d of %d", record.millis() - begin,
        absent, WATCHES, ABSENT_MILLIS, longest, setup.used(),
        EXECUTORS * 16_000);
    return absent > 0 && setup.used() < EXECUTORS * 8_000 - 1_000 ? 1 : 0;
  }

  private static Set<String> active(Setup setup, Set<String> ids) {
    Set<String> active = new HashSet<>();
    setup.workers.forEach(
        worker -> worker.running().forEach(task -> active.add(task.substring(0, 16))));
    active.retainAll(ids);
    return active;
  }

  private static String handIn(Setup setup, String spec, String more) {
    String id = String.format("%016x", RANDOM.nextLong());
    String body =
        "{\"spec\":\"" + spec + "\",\"phases\":[{\"count\":1,\"cpu\":500,\"mem_mb\":500,\"est_ms\":1000"
            + more + "}]}";
    return setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2
        ? id
        : "";
  }
}
