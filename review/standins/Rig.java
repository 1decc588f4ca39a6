import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's entries and side processes, started with
 * the commands of the deploy file, and stand-ins of the store and of the workers.
 */
final class Rig implements AutoCloseable {
  static final String HOST = "nony24.example";
  static final String CHECKS = "/lohu930/";
  static final String HEAVY = "/pufi791/";
  static final String WATCHES = "/pule252/";
  static final String ADVISED = "/advi111/";

  /** One machine of the deployment with its process. */
  static final class Machine {
    final String name;
    final String ip;
    final String role;
    final Path settings;
    Process process;
    Worker worker;

    Machine(String name, String ip, String role, Path settings) {
      this.name = name;
      this.ip = ip;
      this.role = role;
      this.settings = settings;
    }
  }

  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}");
  private static final String[] ZONES = {"suva-hall", "nadi-hall", "lautoka-hall"};

  final Record record = new Record();
  final ObjectMapper json = new ObjectMapper();
  final Store store = new Store(record);
  final Fleet fleet = new Fleet(record);
  final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Path root;
  private final Path folder;
  private final int front;
  private final int ready;
  private final int control;
  private final int links;
  private final int app;
  private final Map<String, List<String>> commands = new TreeMap<>();
  private String adviser = "";

  /** Makes a deployment of entries and sides; starts nothing. */
  Rig(int entries, int sides) throws IOException {
    root = Path.of("").toAbsolutePath();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    folder = Files.createTempDirectory("marigoldsail-review");
    readCommands();
    List<String> ips = new ArrayList<>();
    int third = 1 + (int) (ProcessHandle.current().pid() % 250);
    for (int i = 0; i < entries + sides; i++) {
      ips.add("127.44." + third + "." + (10 + i));
    }
    int[] ports = freePorts(ips, 5);
    front = ports[0];
    ready = ports[1];
    control = ports[2];
    links = ports[3];
    app = ports[4];
    for (int i = 0; i < entries + sides; i++) {
      boolean entry = i < entries;
      String zone = ZONES[i % ZONES.length];
      String name = (entry ? "edge-" : "side-") + zone + "-" + (entry ? 1 + i / 3 : 1 + (i - entries) / 3);
      machines.put(
          name,
          new Machine(name, ips.get(i), entry ? "entry" : "side", folder.resolve(name + ".json")));
    }
  }

  private void readCommands() throws IOException {
    String role = "";
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      Matcher section = Pattern.compile("\\[roles\\.([a-z]+)\\]").matcher(line);
      Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line);
      if (section.matches()) {
        role = section.group(1);
      } else if (run.matches()) {
        commands.put(role, List.of(run.group(1).split(" ")));
      }
    }
  }

  /** Returns ports that are free on all addresses. */
  private static int[] freePorts(List<String> ips, int count) throws IOException {
    int[] ports = new int[count];
    int found = 0;
    for (int port = 21_000 + (int) (ProcessHandle.current().pid() % 900) * 10; found < count; port++) {
      if (isFree(ips, port)) {
        ports[found++] = port;
      }
    }
    return ports;
  }

  private static boolean isFree(List<String> ips, int port) {
    for (String ip : ips) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  void adviser(String address) {
    adviser = address;
  }

  List<Machine> entries() {
    return machines.values().stream().filter(each -> each.role.equals("entry")).toList();
  }

  List<Machine> sides() {
    return machines.values().stream().filter(each -> each.role.equals("side")).toList();
  }

  /** Writes the settings of a machine with the template of the deploy folder. */
  private void writeSettings(Machine machine) throws IOException {
    boolean entry = machine.role.equals("entry");
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("node", machine.name);
    fields.put("role", machine.role);
    fields.put("ip", machine.ip);
    if (entry) {
      fields.put("listen.front", machine.ip + ":" + front);
      fields.put("listen.ready", machine.ip + ":" + ready);
    } else {
      fields.put("listen.control", machine.ip + ":" + control);
      fields.put("app", machine.ip + ":" + app);
    }
    fields.put("port_range.0", links);
    fields.put("platform.addr", store.open(machine.name));
    fields.put("platform.parts", 24);
    fields.put("advice", adviser);
    fields.put("limits.cpu_share", entry ? 0.75 : 0.45);
    fields.put("limits.cores", 1);
    fields.put("bounds.max_hold_ms", 10_000);
    fields.put("bounds.status_s", 120);
    fields.put("bounds.config_ms", 2_000);
    fields.put("bounds.grace_s", 6);
    fields.put("bounds.cross_rack_factor", 1.5);
    String template = Files.readString(root.resolve("deploy/settings.json.template"));
    Matcher matcher = PLACEHOLDER.matcher(template);
    StringBuilder text = new StringBuilder();
    while (matcher.find()) {
      Object value = fields.get(matcher.group(1));
      String shown =
          matcher.group(2) != null
              ? json.writeValueAsString(value)
              : value == null ? "" : value.toString();
      matcher.appendReplacement(text, Matcher.quoteReplacement(shown));
    }
    matcher.appendTail(text);
    Files.writeString(machine.settings, text);
  }

  /** Writes the configuration, starts all processes and workers, and waits until they serve. */
  void start() throws IOException, InterruptedException {
    store.operatorWrites("config", configuration(7));
    for (Machine machine : machines.values()) {
      writeSettings(machine);
      startProcess(machine);
    }
    int number = 0;
    for (Machine side : sides()) {
      startWorker(side, number++);
    }
    long until = record.millis() + 25_000;
    for (Machine entry : entries()) {
      while (new Http(entry.ip, ready).send("GET", HOST, "/api/readyz", null).status != 200) {
        if (record.millis() > until) {
          throw new IOException(entry.name + " is not ready");
        }
        Thread.sleep(200);
      }
    }
    record.add("all entries are ready");
    Thread.sleep(6_000);
  }

  byte[] configuration(int version) throws IOException {
    ObjectNode body = json.createObjectNode().put("version", version);
    ArrayNode routes = body.putArray("routes");
    route(routes, "r-checks", CHECKS, 0, 250, 2, 1.5);
    route(routes, "r-heavy", HEAVY, 2, 1_000, 3, 2.0);
    route(routes, "r-watches", WATCHES, 0, 2_500, 4, 2.2);
    if (!adviser.isEmpty()) {
      ObjectNode advised = route(routes, "r-advised", ADVISED, 0, 2_500, 3, 2.2);
      advised.putObject("advice").put("decide_ms", 20).put("period_ms", 5).put("valid_ms", 4_000);
    }
    body.putArray("services")
        .addObject()
        .put("name", Fleet.SERVICE)
        .put("health_path", "/healthz")
        .put("max_conns", 64)
        .put("protocol", "h1")
        .put("admission_check", fleet.guards());
    body.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 262_144);
    return json.writeValueAsBytes(body);
  }

  private static ObjectNode route(
      ArrayNode routes, String name, String prefix, int priority, int goal, int attempts, double slack) {
    return routes
        .addObject()
        .put("name", name)
        .put("host", HOST)
        .put("prefix", prefix)
        .put("kind", "unsafe")
        .put("timeout_ms", 3_000)
        .put("goal_ms", goal)
        .put("priority", priority)
        .put("service", Fleet.SERVICE)
        .put("attempts", attempts)
        .put("slack_factor", slack);
  }

  void startProcess(Machine machine) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(commands.get(machine.role));
    builder.directory(root.toFile());
    Map<String, String> inherited = Map.copyOf(builder.environment());
    builder.environment().clear();
    for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (inherited.containsKey(name)) {
        builder.environment().put(name, inherited.get(name));
      }
    }
    builder.environment().put("MARIGOLDSAIL_BOOT", machine.settings.toString());
    File log = folder.resolve(machine.name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    machine.process = builder.start();
    record.add("process of %s starts", machine.name);
  }

  Worker startWorker(Machine side, int number) throws IOException {
    side.worker =
        new Worker(
            record,
            fleet,
            side.name,
            side.ip + ":" + app,
            side.ip + ":" + control,
            ZONES[number % ZONES.length],
            List.of("a", "r1-" + (1 + number / 3)));
    return side.worker;
  }

  /** Sends a signal, such as STOP, CONT, TERM or KILL, to the process of the machine. */
  void signal(Machine machine, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(machine.process.pid())).start().waitFor();
    record.add("SIG%s to %s", name, machine.name);
    if (name.equals("KILL")) {
      machine.process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  /** Calls an entry as a client does, and records the call and its answer. */
  Http.Answer call(Machine entry, String method, String path, String body) {
    long sent = record.millis();
    Http.Answer answer = new Http(entry.ip, front).send(method, HOST, path, body);
    record.add(
        "client: %s %s at %s -> %s %s (after %d ms)",
        method, path, entry.name, answer.status == 0 ? "no answer" : answer.status, answer.body,
        record.millis() - sent);
    return answer;
  }

  /** Returns the body of a job; spec tells the workers how long tasks work, by step. */
  String job(String id, ObjectNode job, long... workMillis) throws IOException {
    return failingJob(id, job, 0, workMillis);
  }

  /** The same for a job each of whose tasks fails in its first attempts. */
  String failingJob(String id, ObjectNode job, int fails, long... workMillis) throws IOException {
    ObjectNode spec = json.createObjectNode();
    ArrayNode work = spec.putArray("work_ms");
    for (long millis : workMillis) {
      work.add(millis);
    }
    if (fails > 0) {
      spec.put("fails", fails);
    }
    job.put("spec", json.writeValueAsString(spec));
    fleet.knows(id, job, spec);
    return json.writeValueAsString(job);
  }

  /** Copies the processes' logs to a folder, for a look at what happened. */
  void keepLogs(Path to) throws IOException {
    Files.createDirectories(to);
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(each -> each.toString().endsWith(".log")).toList()) {
        Files.write(to.resolve(file.getFileName()), Files.readAllBytes(file));
      }
    }
  }

  private void endProcesses() {
    for (Machine machine : machines.values()) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Machine machine : machines.values()) {
      if (machine.worker != null) {
        machine.worker.crash();
      }
    }
    endProcesses();
    for (Machine machine : machines.values()) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    store.close();
    String kept = System.getenv("KEEP_LOGS");
    if (kept != null) {
      keepLogs(Path.of(kept));
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    }
  }
}
