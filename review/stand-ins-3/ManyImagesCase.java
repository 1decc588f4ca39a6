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
 * Jobs that fill beside tasks that serve, each with an image of its own; then one entry is killed and
 * starts again. Arguments: folder, trouble (0 or 1).
 */
final class ManyImagesCase {
  private static final int WATCHES = 12;
  private static final int JOBS = 900;
  private static final int GAP_MILLIS = 35;
  private static final int RESTART_MILLIS = 1_000;
  private static final int OBSERVED_MILLIS = 28_000;
  private static final int TASK_CPU = 600;

  /** The rule LOST: 3 s with nothing at work, from 6 s after the last run of a task that lasts. */
  private static final int ABSENT_MILLIS = 9_000;

  /** A disruption and the time after it that isn't calm: contact_ms and 4 s. */
  private static final int UNREST_MILLIS = 7_000;

  private static final Random RANDOM = new Random(63);

  public static void main(String[] arguments) throws Exception {
    Setup.main(
        arguments,
        (task, spec) ->
            spec.equals("watch")
                ? new Worker.Behaviour(300, 500, 500, true, "", 5, false)
                : new Worker.Behaviour(TASK_CPU, 500, 1_300, false, "", 0, true),
        ManyImagesCase::run);
  }

  private static String image(int number) {
    Random random = new Random(number);
    StringBuilder digest = new StringBuilder();
    while (digest.length() < 64) {
      digest.append(Integer.toHexString(random.nextInt(16)));
    }
    return "images.parkhub.example/payouts/owner-statements/monthly@sha256:" + digest;
  }

  private static int run(Setup setup, boolean trouble) throws Exception {
    Recorder record = setup.record;
    Worker labelled = setup.workers.get(0);
    Set<String> watches = new HashSet<>();
    String lasts = ",\"long_running\":true,\"image\":\"watch\",\"target_ms\":25";
    for (int i = 0; i < WATCHES; i++) {
      watches.add(handIn(setup, "watch", 300, lasts));
    }
    Thread.sleep(5_000);
    if (active(labelled, watches).size() < WATCHES) {
      record.say("the tasks that last don't run");
      return 2;
    }
    Set<String> accepted = ConcurrentHashMap.newKeySet();
    ExecutorService threads = Executors.newCachedThreadPool();
    for (int i = 0; i < JOBS; i++) {
      String more = ",\"fills\":true,\"image\":\"" + image(i) + "\"";
      threads.execute(() -> accepted.add(handIn(setup, "payout", TASK_CPU, more)));
      Thread.sleep(GAP_MILLIS);
    }
    threads.shutdown();
    threads.awaitTermination(10, TimeUnit.SECONDS);
    accepted.remove("");
    Thread.sleep(3_000);
    record.say("%d of %d jobs accepted; %d of %d tasks that last run", accepted.size(), JOBS,
        active(labelled, watches).size(), WATCHES);
    if (trouble) {
      setup.entries.get(0).kill();
      Thread.sleep(RESTART_MILLIS);
      setup.entries.get(0).start();
    }
    long begin = record.millis();
    Map<String, Long> seen = new HashMap<>();
    watches.forEach(watch -> seen.put(watch, begin));
    while (record.millis() - begin < OBSERVED_MILLIS) {
      active(labelled, watches).forEach(watch -> seen.put(watch, record.millis()));
      Thread.sleep(50);
    }
    int absent = 0;
    long longest = 0;
    for (String watch : watches) {
      long gone = record.millis() - seen.get(watch);
      longest = Math.max(longest, gone);
      absent += gone >= Math.max(ABSENT_MILLIS, UNREST_MILLIS) ? 1 : 0;
      setup.client.callUntilAnswered("GET", "/q/" + watch, "", 3);
    }
    record.say("%d ms after the start of the entry: %d of %d tasks that last have been absent for %d ms"
        + " or more, the longest for %d ms; processors in use: %d of 48000, on their executor %d of"
        + " 16000", record.millis() - begin, absent, WATCHES, ABSENT_MILLIS, longest, setup.used(),
        labelled.used());
    boolean room = setup.used() < 24_000 && labelled.cpu() - labelled.used() >= 600;
    return absent > 0 && room ? 1 : 0;
  }

  /** Returns those of the jobs that run on the worker. */
  private static Set<String> active(Worker worker, Set<String> ids) {
    Set<String> active = new HashSet<>();
    worker.running().forEach(task -> active.add(task.substring(0, 16)));
    active.retainAll(ids);
    return active;
  }

  /** Returns the id of the job, or an empty string if it was not accepted. */
  private static String handIn(Setup setup, String spec, int cpu, String more) {
    String id;
    synchronized (RANDOM) {
      id = String.format("%016x", RANDOM.nextLong());
    }
    String body =
        "{\"spec\":\"" + spec + "\",\"phases\":[{\"count\":1,\"cpu\":" + cpu
            + ",\"mem_mb\":500,\"est_ms\":1300,\"required_label\":\"b\"" + more + "}]}";
    return setup.client.callUntilAnswered("POST", "/q/" + id, body, 3).status() / 100 == 2
        ? id
        : "";
  }
}
