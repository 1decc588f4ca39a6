import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the programs of the deploy file as separate processes, a store, and
 * an executor beside each side process. Entries stand behind a name that each process resolves for
 * itself, so that a proxy can stand between one side process and one entry.
 */
final class Deployment implements AutoCloseable {
  static final String HOST = "review.example";
  static final String PREFIX = "/jobs/";
  private static final int PARTITIONS = 24;
  private static final Random RANDOM = new Random();

  final Recorder recorder;
  final Store store;
  final Executor.Work work;
  final List<Executor> executors = new ArrayList<>();
  final Map<String, Store.Gate> gates = new LinkedHashMap<>();
  final Map<String, List<Cut>> cuts = new LinkedHashMap<>();
  final Map<String, Process> processes = Collections.synchronizedMap(new LinkedHashMap<>());
  final List<Integer> fronts = new ArrayList<>();
  final List<Integer> linkPorts = new ArrayList<>();
  final List<Integer> controls = new ArrayList<>();
  private final Path home;
  private final Path folder;
  private final Map<String, String[]> commands = new HashMap<>();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "server");
            thread.setDaemon(true);
            return thread;
          });

  Deployment(Recorder recorder) throws IOException {
    this.recorder = recorder;
    // Ends the processes also where the time of the script is over.
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    this.home = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("review");
    this.store = new Store(PARTITIONS, threads);
    this.work = new Executor.Work(recorder);
    Matcher roles =
        Pattern.compile("\\[roles\\.(\\w+)\\]\\s+run = \"([^\"]*)\"")
            .matcher(Files.readString(home.resolve("deploy/system.toml")));
    while (roles.find()) {
      commands.put(roles.group(1), roles.group(2).split(" "));
    }
  }

  /** Returns a free port below those that the system gives to outgoing connections. */
  static int freePort() {
    while (true) {
      int port = 20_000 + RANDOM.nextInt(12_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // Taken; the next one is tried.
      }
    }
  }

  /**
   * Starts entries, side processes and executors, and waits until all are ready.
   *
   * @param cuttable whether a proxy stands between each side process and each entry: entries then
   *     have a name in place of an address, which each process resolves by a file of its own
   */
  boolean start(int entries, int sides, int cpu, boolean cuttable)
      throws IOException, InterruptedException {
    return start(entries, sides, 0, cpu, cuttable);
  }

  /** Like the other, with some of the executors, the last ones, of a second service. */
  boolean start(int entries, int sides, int others, int cpu, boolean cuttable)
      throws IOException, InterruptedException {
    configure(7, "review-service");
    List<Integer> readyPorts = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      linkPorts.add(freePort());
      fronts.add(freePort());
      readyPorts.add(freePort());
      Map<String, String> names = new LinkedHashMap<>();
      for (int each = 0; cuttable && each < entries; each++) {
        names.put("entry-" + each, "127.0.0.1");
      }
      String ip = cuttable ? "entry-" + i : "127.0.0.1";
      ObjectNode fields = fields("edge-" + i, "entry", ip, linkPorts.get(i));
      fields.putObject("listen").put("front", "127.0.0.1:" + fronts.get(i))
          .put("ready", "127.0.0.1:" + readyPorts.get(i));
      startProcess("edge-" + i, "entry", fields, names);
    }
    for (int i = 0; i < sides; i++) {
      String side = "side-" + i;
      Map<String, String> names = new LinkedHashMap<>();
      List<Cut> proxies = new ArrayList<>();
      for (int each = 0; cuttable && each < entries; each++) {
        String address = "127.0." + (i + 1) + "." + (each + 2);
        names.put("entry-" + each, address);
        proxies.add(new Cut(address, linkPorts.get(each), linkPorts.get(each)));
      }
      cuts.put(side, proxies);
      Executor executor =
          new Executor("executor-" + i, "i-" + (100 + i), work, cpu, "r1-" + i, threads);
      executors.add(executor);
      int control = freePort();
      controls.add(control);
      ObjectNode fields = fields(side, "side", "127.0.0.1", freePort());
      fields.putObject("listen").put("control", "127.0.0.1:" + control);
      fields.put("app", executor.address());
      startProcess(side, "side", fields, names);
      executor.start("127.0.0.1:" + control, i < sides - others ? "review-service" : "second-service");
    }
    for (int tries = 0; tries < 300; tries++) {
      boolean ready = true;
      for (int port : readyPorts) {
        ready &= call("GET", port, "/api/readyz", "", 1_000).startsWith("200");
      }
      if (ready) {
        Thread.sleep(4_000);
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Writes a configuration whose only queue sends to the service. */
  void configure(int version, String service) {
    recorder.write("configuration " + version + ": " + PREFIX + " sends to " + service);
    store.operatorWrites("config", configuration(version, service));
  }

  private static String configuration(int version, String service) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"review-queue\",\"host\":\"" + HOST
        + "\",\"prefix\":\"" + PREFIX + "\",\"service\":\"" + service + "\",\"timeout_ms\":3000,"
        + "\"priority\":0,\"attempts\":4,\"slack_factor\":3,\"goal_ms\":1000}],"
        + "\"services\":[{\"name\":\"review-service\",\"admission_check\":true},"
        + "{\"name\":\"second-service\",\"admission_check\":true}],\"limits\":{}}";
  }

  /** The platform's fields, with the bounds of the small deployments. */
  private ObjectNode fields(String node, String role, String ip, int linkPort) throws IOException {
    gates.put(node, store.openGate());
    ObjectNode fields = Store.JSON.createObjectNode();
    fields.put("node", node).put("role", role).put("ip", ip).put("advice", "");
    ArrayNode ports = fields.putArray("port_range");
    ports.add(linkPort).add(linkPort);
    fields.putObject("platform").put("addr", gates.get(node).address()).put("parts", PARTITIONS);
    fields.putObject("bounds").put("max_hold_ms", 10_000).put("status_s", 120)
        .put("config_ms", 2_000).put("grace_s", 6).put("cross_rack_factor", 1.5);
    fields.putObject("limits").put("cpu_share", 0.3).put("cores", 1);
    return fields;
  }

  /** Fills in the template of the deploy file, as DEPLOY.md tells it. */
  private String settings(ObjectNode fields) throws IOException {
    String template = Files.readString(home.resolve("deploy/settings.json.template"));
    Matcher places = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}").matcher(template);
    return places.replaceAll(
        place -> {
          JsonNode value = fields;
          for (String key : place.group(1).split("\\.")) {
            value = value.isArray() ? value.path(Integer.parseInt(key)) : value.path(key);
          }
          String text = place.group(2) == null ? value.asText("") : value.toString();
          return Matcher.quoteReplacement(text);
        });
  }

  private void startProcess(
      String node, String role, ObjectNode fields, Map<String, String> names) throws IOException {
    Path file = folder.resolve(node + ".conf");
    Files.writeString(file, settings(fields));
    ProcessBuilder builder = new ProcessBuilder(commands.get(role));
    builder.directory(home.toFile());
    builder.environment().put("MARIGOLDSAIL_BOOT", file.toString());
    if (!names.isEmpty()) {
      Path hosts = folder.resolve(node + ".hosts");
      StringBuilder lines = new StringBuilder();
      names.forEach((name, address) -> lines.append(address).append(' ').append(name).append('\n'));
      Files.writeString(hosts, lines.toString());
      builder.environment().put("JAVA_TOOL_OPTIONS", "-Djdk.net.hosts.file=" + hosts);
    }
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(node + ".log").toFile());
    processes.put(node, builder.start());
    recorder.write("process " + node + " started, role " + role);
  }

  /** Cuts a side process off from all entries and from the store. */
  void cut(String side) throws IOException {
    recorder.write("cut: " + side + " is cut off from all entries and from the store");
    gates.get(side).set(Store.Mode.BUSY);
    for (Cut cut : cuts.get(side)) {
      cut.cut();
    }
  }

  void heal(String side) throws IOException {
    recorder.write("cut: " + side + " is back");
    gates.get(side).set(Store.Mode.SERVE);
    for (Cut cut : cuts.get(side)) {
      cut.heal();
    }
  }

  /** Returns the lines of a process's log that hold the text. */
  List<String> log(String node, String text) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve(node + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  /** Returns a client's call as status and body; "none" if there is no answer. */
  static String call(String method, int port, String path, String body, int timeoutMillis) {
    try {
      URL url = new URL("http://127.0.0.1:" + port + path);
      HttpURLConnection call = (HttpURLConnection) url.openConnection();
      call.setRequestMethod(method);
      call.setConnectTimeout(timeoutMillis);
      call.setReadTimeout(timeoutMillis);
      call.setRequestProperty("Host", HOST);
      call.setRequestProperty("X-Deadline-Ms", String.valueOf(timeoutMillis));
      if (!body.isEmpty()) {
        call.setDoOutput(true);
        call.setRequestProperty("Content-Type", "application/json");
        call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      }
      int status = call.getResponseCode();
      var stream = status < 400 ? call.getInputStream() : call.getErrorStream();
      String text = stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
      return status + " " + text;
    } catch (IOException e) {
      return "none";
    }
  }

  /** Calls an entry as a client and records the answer. */
  String client(String method, int entry, String id, String body) {
    String answer = call(method, fronts.get(entry), PREFIX + id, body, 3_000);
    recorder.write("client " + method + " " + id + " at edge-" + entry + " -> " + answer);
    return answer;
  }

  /** Submits a job, up to four times at entries in turn; returns whether it was accepted. */
  boolean submit(int entry, String id, Executor.Step step, String more) throws InterruptedException {
    synchronized (work) {
      work.jobs.put(id, List.of(step));
    }
    String body =
        "{\"spec\":\"(text)\",\"phases\":[{\"count\":" + step.count() + ",\"cpu\":" + step.cpu()
            + ",\"mem_mb\":100,\"est_ms\":" + step.millis() + more + "}]}";
    return post(entry, id, body);
  }

  /** Submits a job of equal steps, each of which depends on the one before. */
  boolean submitChain(int entry, String id, Executor.Step step, int steps)
      throws InterruptedException {
    synchronized (work) {
      work.jobs.put(id, Collections.nCopies(steps, step));
    }
    StringBuilder phases = new StringBuilder();
    for (int i = 0; i < steps; i++) {
      phases.append(i == 0 ? "" : ",").append("{\"count\":").append(step.count());
      phases.append(",\"cpu\":").append(step.cpu()).append(",\"mem_mb\":100,\"est_ms\":");
      phases.append(step.millis()).append(i == 0 ? "" : ",\"depends_on\":[" + (i - 1) + "]");
      phases.append('}');
    }
    return post(entry, id, "{\"spec\":\"(text)\",\"phases\":[" + phases + "]}");
  }

  private boolean post(int entry, String id, String body) throws InterruptedException {
    for (int tries = 0; tries < 4; tries++) {
      if (client("POST", (entry + tries) % fronts.size(), id, body).startsWith("2")) {
        return true;
      }
      Thread.sleep(500);
    }
    return false;
  }

  @Override
  public void close() {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    executors.forEach(Executor::close);
    gates.values().forEach(Store.Gate::close);
    String keep = System.getenv("KEEP_LOGS");
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        if (keep != null && file.toString().endsWith(".log")) {
          Files.copy(file, new File(keep, file.getFileName().toString()).toPath(),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      recorder.write("temporary folder left: " + e.getMessage());
    }
  }
}
