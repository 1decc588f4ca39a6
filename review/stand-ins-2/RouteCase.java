import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A change of the configuration sends a queue to another service while jobs of it run. Both services
 * have executors with room. The jobs that were accepted before must go on.
 */
final class RouteCase {
  private static final int JOBS = 8;
  private static final long FINISH_MILLIS = 14_000;

  private RouteCase() {}

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
    if (!deployment.start(2, 4, 2, 16_000, false)) {
      recorder.write("the deployment did not get ready");
      return 2;
    }
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("a%015x", i * 7919L + 1);
      if (deployment.submitChain(i % 2, id, new Executor.Step(2, 500, 1_500, false, false), 3)) {
        ids.add(id);
      }
    }
    Thread.sleep(2_000);
    int begun = 0;
    for (String id : ids) {
      begun += deployment.work.hasStarted(id) ? 1 : 0;
    }
    if (ids.size() < JOBS || begun < JOBS) {
      recorder.write("not all jobs began before the disruption");
      return 2;
    }
    if (trouble) {
      deployment.configure(9, "second-service");
    }
    Thread.sleep(FINISH_MILLIS);
    int still = 0;
    for (String id : ids) {
      boolean done = deployment.client("GET", 0, id, "").contains("done");
      long idle = (System.nanoTime() - deployment.work.lastStartOf(id)) / 1_000_000;
      if (!done && !deployment.work.runs(id) && idle > 3_000 + 1_500) {
        still++;
      }
    }
    String later = "b000000000000001";
    deployment.submit(0, later, new Executor.Step(2, 500, 300, false, false), "");
    Thread.sleep(2_000);
    boolean served = deployment.client("GET", 0, later, "").contains("done");
    recorder.write(
        "accepted " + ids.size() + ", with nothing running for 3 s " + still
            + "; a job that was handed in afterwards is done: " + served);
    return still == 0 ? 0 : 1;
  }
}
