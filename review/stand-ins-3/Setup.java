import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A small deployment: three entries, side processes with their executors, and the store. */
final class Setup implements AutoCloseable {
  static final String SERVICE = "parkhub";
  static final int RECORD_BYTES = 262_144;

  /** What a case does once the deployment serves. */
  interface Case {
    /** Returns the exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    int run(Setup setup, boolean trouble) throws Exception;
  }

  final Recorder record;
  final Store store;
  final Deployment deployment;
  final List<Deployment.Node> entries = new ArrayList<>();
  final List<Deployment.Node> sides = new ArrayList<>();
  final List<Worker> workers = new ArrayList<>();
  final Client client;
  private final Worker.Work work;

  private Setup(Recorder record, Path scratch, Worker.Work work) throws IOException {
    this.record = record;
    this.work = work;
    store = new Store(new Store.Limits(24, RECORD_BYTES, 2_097_152, 20_000), record);
    int storePort = store.start();
    store.operator("config", configuration().getBytes(StandardCharsets.UTF_8));
    deployment = new Deployment(scratch, storePort, record);
    for (int i = 1; i <= 3; i++) {
      entries.add(deployment.entry("edge-" + i));
    }
    for (int i = 1; i <= machines; i++) {
      int port = Http.freePort();
      Deployment.Node side = deployment.side("side-" + i, port);
      sides.add(side);
      Worker worker = worker(i - 1);
      worker.start(port, side.port("listen.control"));
      workers.add(worker);
    }
    client = new Client(entries, record);
    Runtime.getRuntime().addShutdownHook(new Thread(deployment::killAll));
  }

  /** Returns a new executor on the machine, with the id of each that was there. */
  private Worker worker(int machine) {
    List<String> labels = List.of(machine == 0 ? "b" : "a", "r1-" + (machine + 1));
    String id = "i-" + (machine + 1);
    Worker worker = new Worker(id, SERVICE, labels, 16_000, 64_000, 10_000, 400, work, record);
    return tellsBirths ? worker.telling(System.currentTimeMillis(), 0) : worker;
  }

  /** Starts an executor again on its machine, under its id. */
  void restartWorker(int machine, long firstBeatMillis) throws IOException {
    Worker worker = worker(machine).telling(System.currentTimeMillis(), firstBeatMillis);
    Deployment.Node side = sides.get(machine);
    worker.start(side.port("app"), side.port("listen.control"));
    workers.set(machine, worker);
    record.say("i-%d: started again under its id", machine + 1);
  }

  /** Whether executors tell the time of their start. */
  private static boolean tellsBirths;

  private static int machines = 3;

  /** Runs the case with that many executors, which start again under their ids. */
  static void mainWithBirths(int executors, String[] arguments, Worker.Work work, Case each)
      throws Exception {
    tellsBirths = true;
    machines = executors;
    main(arguments, work, each);
  }

  /** Runs the case and exits with its status. */
  static void main(String[] arguments, Worker.Work work, Case each) throws Exception {
    Path folder = Path.of(arguments[0]);
    boolean trouble = !arguments[1].equals("0");
    Path scratch = Files.createTempDirectory("review-3-");
    int exit = 2;
    try (Recorder record = new Recorder(folder.resolve("record.txt"))) {
      try (Setup setup = new Setup(record, scratch, work)) {
        for (Deployment.Node node : setup.deployment.nodes) {
          node.start();
        }
        if (setup.awaitReady()) {
          exit = each.run(setup, trouble);
        } else {
          record.say("the deployment does not get ready");
        }
        for (Deployment.Node node : setup.deployment.nodes) {
          record.say("%s is %s", node.name, node.isUp() ? "up" : "down");
        }
      } catch (IOException | RuntimeException e) {
        record.say("could not run: %s", e);
      }
      record.say("exit %d", exit);
    } finally {
      if (Boolean.getBoolean("keep")) {
        System.out.println(scratch);
      } else {
        try (var files = Files.walk(scratch)) {
          files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
      }
    }
    System.exit(exit);
  }

  private boolean awaitReady() throws InterruptedException {
    for (int i = 0; i < 100; i++) {
      Thread.sleep(200);
      if (entries.stream().allMatch(entry -> client.call(entry, "GET", "/q/", "").status() == 200)) {
        Thread.sleep(4_000);
        return true;
      }
    }
    return false;
  }

  private static String configuration() {
    return "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"127.0.0.1\",\"prefix\":\"/q/\","
        + "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"goal_ms\":250,\"priority\":0,"
        + "\"service\":\"parkhub\",\"attempts\":3,\"slack_factor\":1.5}],\"services\":[{\"name\":"
        + "\"parkhub\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":"
        + "false,\"admission_check\":true,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  /** Returns the processors in use on all executors, in thousandths of a core. */
  int used() {
    return workers.stream().mapToInt(Worker::used).sum();
  }

  @Override
  public void close() throws InterruptedException {
    deployment.close();
    workers.forEach(Worker::stop);
    store.stop();
  }
}
