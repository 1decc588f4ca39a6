import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The store deals all partitions anew at once, some times in a row. Jobs must go on. */
final class DealCase {
  /** Every order of three members, so that the case does not depend on their names. */
  private static final int[][] DEALS = {
    {0, 1, 2}, {0, 2, 1}, {2, 0, 1}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}
  };

  private DealCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    Recorder recorder = new Recorder(Path.of(arguments[0]).resolve("record.txt"));
    try (Deployment deployment = new Deployment(recorder)) {
      result = run(deployment, trouble);
    } catch (Exception e) {
      recorder.write("the case could not run: " + e);
    }
    recorder.write("exit " + result);
    System.exit(result);
  }

  private static int run(Deployment deployment, boolean trouble) throws Exception {
    Recorder recorder = deployment.recorder;
    if (!deployment.start(3, 3, 16_000, false)) {
      recorder.write("the deployment did not get ready");
      return 2;
    }
    if (!allGoOn(deployment, 0)) {
      recorder.write("jobs do not run before the disruption");
      return 2;
    }
    boolean held = true;
    for (int deal = 1; deal <= DEALS.length && held; deal++) {
      if (trouble) {
        deployment.store.dealAnew(DEALS[deal - 1]);
        recorder.write("store: all partitions are dealt anew, deal " + deal);
      }
      // contact_ms, and the 4 s before that the rule asks to be calm.
      Thread.sleep(7_000);
      held = allGoOn(deployment, deal);
    }
    return held ? 0 : 1;
  }

  /** Submits jobs of two steps; returns whether none stands still for 3 s with room free. */
  private static boolean allGoOn(Deployment deployment, int deal) throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      String id = String.format("%x%015x", deal + 1, i * 7919L + 1);
      if (deployment.submitChain(i % 3, id, new Executor.Step(2, 200, 300, false, false), 2)) {
        ids.add(id);
      }
    }
    Map<String, Long> idleSince = new LinkedHashMap<>();
    List<String> still = new ArrayList<>();
    long until = System.nanoTime() + 5_000_000_000L;
    while (System.nanoTime() < until) {
      for (String id : ids) {
        if (deployment.work.runs(id) || deployment.work.isDone(id)) {
          idleSince.remove(id);
        } else {
          idleSince.putIfAbsent(id, System.nanoTime());
        }
      }
      Thread.sleep(20);
    }
    for (Map.Entry<String, Long> each : idleSince.entrySet()) {
      if (System.nanoTime() - each.getValue() >= 3_000_000_000L) {
        still.add(each.getKey());
      }
    }
    int shown = 0;
    for (String id : still) {
      if (shown++ < 4) {
        deployment.client("GET", 0, id, "");
      }
    }
    deployment.recorder.write(
        "after deal " + deal + ": accepted " + ids.size() + ", with nothing running for 3 s "
            + still.size());
    return !ids.isEmpty() && still.isEmpty();
  }
}
