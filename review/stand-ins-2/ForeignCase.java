import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One heartbeat from another writer arrives at each side process: it holds the executor's id, a
 * service that no configuration names, and a count of its own. The executors' heartbeats go on.
 */
final class ForeignCase {
  private static final int JOBS = 12;
  private static final long FINISH_MILLIS = 14_000;
  private static final int FOREIGN_SEQUENCE = 1_000;

  private ForeignCase() {}

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
    if (!runJobs(deployment, "a", 3_000)) {
      recorder.write("jobs do not run before the disruption");
      return 2;
    }
    for (int i = 0; trouble && i < deployment.controls.size(); i++) {
      String id = deployment.executors.get(i).id;
      String body =
          "{\"service\":\"another-service\",\"addr\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
              + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
              + "\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r1-9\"],"
              + "\"clock_ms\":1,\"seq\":" + FOREIGN_SEQUENCE + "}";
      String answer =
          Deployment.call("PUT", deployment.controls.get(i), "/api/executors/" + id, body, 1_000);
      recorder.write("heartbeat of another writer at side-" + i + ": " + body + " -> " + answer);
    }
    Thread.sleep(8_000);
    return runJobs(deployment, "b", FINISH_MILLIS) ? 0 : 1;
  }

  /** Submits jobs and returns whether all of them are done in time. */
  private static boolean runJobs(Deployment deployment, String mark, long millis)
      throws Exception {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%s%015x", mark, i * 7919L + 1);
      if (deployment.submit(i % 2, id, new Executor.Step(2, 500, 300, false, false), "")) {
        ids.add(id);
      }
    }
    Thread.sleep(millis);
    int done = 0;
    int neverStarted = 0;
    for (String id : ids) {
      done += deployment.client("GET", 0, id, "").contains("done") ? 1 : 0;
      neverStarted += deployment.work.hasStarted(id) ? 0 : 1;
    }
    deployment.recorder.write(
        "jobs " + mark + ": accepted " + ids.size() + ", done " + done + ", never started "
            + neverStarted);
    return !ids.isEmpty() && done == ids.size();
  }
}
