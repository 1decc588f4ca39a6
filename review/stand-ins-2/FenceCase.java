import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * One heartbeat from another writer arrives at each side process: it holds the executor's id, a
 * service that no configuration names, and the time of its sender's start. Tasks that last must go
 * on, or run again.
 */
final class FenceCase {
  private static final int JOBS = 6;

  private FenceCase() {}

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
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("a%015x", i * 7919L + 1);
      Executor.Step step = new Executor.Step(1, 200, 1_000, false, true);
      if (deployment.submit(i % 2, id, step, ",\"long_running\":true")) {
        ids.add(id);
      }
    }
    Thread.sleep(3_000);
    if (ids.size() < JOBS || !ids.stream().allMatch(deployment.work::runs)) {
      recorder.write("not all tasks run before the disruption");
      return 2;
    }
    for (int i = 0; trouble && i < deployment.controls.size(); i++) {
      String id = deployment.executors.get(i).id;
      String body =
          "{\"service\":\"another-service\",\"addr\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
              + "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
              + "\"capacity\":{\"cpu\":16000,\"mem_mb\":64000,\"gpu\":0},\"labels\":[\"a\",\"r1-9\"],"
              + "\"clock_ms\":1,\"seq\":1,\"born\":1790000000000}";
      String answer =
          Deployment.call("PUT", deployment.controls.get(i), "/api/executors/" + id, body, 1_000);
      recorder.write("heartbeat of another writer at side-" + i + ": " + body + " -> " + answer);
    }
    // Each task may end once by it; what the rule asks begins 6 s after its last run.
    Thread.sleep(10_000 + 6_000 + 7_000);
    List<String> away = new ArrayList<>(ids);
    long until = System.nanoTime() + 3_000_000_000L;
    while (System.nanoTime() < until) {
      away.removeIf(deployment.work::runs);
      Thread.sleep(20);
    }
    deployment.client("GET", 0, ids.get(0), "");
    String later = "b000000000000001";
    deployment.submit(0, later, new Executor.Step(2, 500, 300, false, false), "");
    Thread.sleep(5_000);
    boolean served = deployment.client("GET", 0, later, "").contains("done");
    recorder.write(
        "tasks that last: " + ids.size() + ", not running for 3 s " + away.size()
            + "; a job that was handed in afterwards is done: " + served);
    return away.isEmpty() ? 0 : 1;
  }
}
