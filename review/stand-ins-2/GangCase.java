import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Two workers of a gang are cut off one after the other and come back; the gang has ended done
 * meanwhile. Jobs that come later must still run.
 */
final class GangCase {
  private static final int JOBS = 24;
  private static final long FINISH_MILLIS = 14_000;

  private GangCase() {}

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
    if (!deployment.start(2, 3, 16_000, true)) {
      recorder.write("the deployment did not get ready");
      return 2;
    }
    if (!runJobs(deployment, "a", 6)) {
      recorder.write("jobs do not run before the disruption");
      return 2;
    }
    String gang = "5c0e7a21d94b36f8";
    deployment.submit(
        0,
        gang,
        new Executor.Step(2, 2_000, 5_000, true, false),
        ",\"gang\":true,\"max_per_server\":1");
    long until = System.nanoTime() + 5_000_000_000L;
    while (deployment.work.startsOf(gang) < 2 && System.nanoTime() < until) {
      Thread.sleep(10);
    }
    if (deployment.work.startsOf(gang) < 2) {
      recorder.write("the gang did not start");
      return 2;
    }
    String first = sideOf(deployment, gang + ".0.0.0");
    String second = sideOf(deployment, gang + ".0.0.1");
    if (trouble) {
      Thread.sleep(1_500);
      deployment.cut(first);
      Thread.sleep(2_500);
      deployment.cut(second);
      Thread.sleep(6_400);
      deployment.heal(first);
      Thread.sleep(2_100);
      deployment.heal(second);
      if (!deployment.work.ends.toString().contains(gang + ".0.0.1=[1 done]")) {
        recorder.write("the gang did not end done on its first try");
        return 2;
      }
    } else {
      Thread.sleep(12_500);
    }
    // contact_ms, and the seconds that the rule asks to be calm, have passed before the jobs come.
    Thread.sleep(8_000);
    deployment.client("GET", 0, gang, "");
    boolean held = runJobs(deployment, "b", JOBS);
    deployment.client("GET", 0, gang, "");
    for (String node : List.of("edge-0", "edge-1")) {
      int errors = deployment.log(node, "IllegalStateException").size();
      recorder.write(node + ": lines of its log with IllegalStateException: " + errors);
    }
    return held ? 0 : 1;
  }

  private static String sideOf(Deployment deployment, String task) {
    synchronized (deployment.work) {
      return deployment.work.starts.get(task).get(0).split(" ")[0].replace("executor", "side");
    }
  }

  /** Submits jobs and returns whether all of them are done in time. */
  private static boolean runJobs(Deployment deployment, String mark, int count) throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = String.format("%s%015x", mark, i * 7919L + 1);
      if (deployment.submit(i % 2, id, new Executor.Step(2, 500, 300, false, false), "")) {
        ids.add(id);
      }
    }
    Thread.sleep(mark.equals("a") ? 3_000 : FINISH_MILLIS);
    int done = 0;
    int neverStarted = 0;
    for (String id : ids) {
      done += deployment.client("GET", 0, id, "").contains("done") ? 1 : 0;
      neverStarted += deployment.work.hasStarted(id) ? 0 : 1;
    }
    deployment.recorder.write(
        "jobs " + mark + ": accepted " + ids.size() + ", done " + done + ", never started "
            + neverStarted);
    return !ids.isEmpty() && done == ids.size() && neverStarted == 0;
  }
}
