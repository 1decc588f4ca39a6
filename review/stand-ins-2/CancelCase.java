import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The store turns one entry away and serves the other. Clients hand jobs in at the other one and
 * cancel them soon after; a cancel that was acknowledged must hold.
 */
final class CancelCase {
  private static final int JOBS = 16;
  private static final int CANCEL_AFTER_MILLIS = 300;
  private static final int AWAY_MILLIS = 4_000;

  private CancelCase() {}

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
    if (!deployment.start(2, 3, 16_000, false)) {
      recorder.write("the deployment did not get ready");
      return 2;
    }
    String warm = "a000000000000001";
    deployment.submit(0, warm, new Executor.Step(2, 500, 300, false, false), "");
    Thread.sleep(2_000);
    if (!deployment.client("GET", 0, warm, "").contains("done")) {
      recorder.write("jobs do not run before the disruption");
      return 2;
    }
    if (trouble) {
      recorder.write("store: turns edge-0 away with 503, serves the others");
      deployment.gates.get("edge-0").set(Store.Mode.BUSY);
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("c%015x", i * 7919L + 1);
      Executor.Step step = new Executor.Step(1, 200, 1_000, false, true);
      if (deployment.submit(1, id, step, ",\"long_running\":true")) {
        ids.add(id);
      }
    }
    Thread.sleep(CANCEL_AFTER_MILLIS);
    List<String> acknowledged = new ArrayList<>();
    long lastAcknowledged = 0;
    for (String id : ids) {
      for (int tries = 0; tries < 8; tries++) {
        String answer = deployment.client("DELETE", 1, id, "");
        if (answer.startsWith("2") || answer.startsWith("410")) {
          acknowledged.add(id);
          lastAcknowledged = System.nanoTime();
          break;
        }
        Thread.sleep(500);
      }
    }
    Thread.sleep(AWAY_MILLIS);
    if (trouble) {
      recorder.write("store: serves all machines again");
      deployment.gates.get("edge-0").set(Store.Mode.SERVE);
    }
    // contact_ms, then the stretch of cancel_ms + stop_ms after which the tasks have to be gone.
    Thread.sleep(3_000 + 3_000 + 200 + 1_000);
    int broken = 0;
    for (String id : acknowledged) {
      boolean runs = deployment.work.runs(id);
      long late = (deployment.work.lastStartOf(id) - lastAcknowledged) / 1_000_000;
      if (runs) {
        broken++;
        recorder.write("job " + id + " still runs; its last start came " + late
            + " ms after the last cancel was acknowledged");
        deployment.client("GET", 1, id, "");
      }
    }
    recorder.write(
        "accepted " + ids.size() + ", cancels acknowledged " + acknowledged.size()
            + ", cancelled jobs that still run " + broken);
    if (acknowledged.size() < ids.size() / 2) {
      return 2;
    }
    return broken == 0 ? 0 : 1;
  }
}
