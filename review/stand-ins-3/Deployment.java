import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's own programs, started with the commands of the deploy file and with settings that
 * its template makes of the platform's fields. Runs in the root of the repository.
 */
final class Deployment implements AutoCloseable {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}");

  /** One process of the deployment. */
  final class Node {
    final String name;
    final String role;
    final Map<String, String> fields = new TreeMap<>();
    final Path settings;
    Process process;
    int starts;

    private Node(String name, String role) {
      this.name = name;
      this.role = role;
      this.settings = folder.resolve(name + ".json");
    }

    void start() throws IOException {
      Files.writeString(settings, render());
      List<String> command = new ArrayList<>(commands.get(role));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("MARIGOLDSAIL_BOOT", settings.toString());
      File log = folder.resolve(name + "-" + ++starts + ".log").toFile();
      process = builder.redirectErrorStream(true).redirectOutput(log).start();
      record.say("%s: start %d, process %d", name, starts, process.pid());
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
      record.say("%s: SIGKILL", name);
    }

    /** Sends a signal, such as STOP or CONT. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      record.say("%s: SIG%s", name, signal);
    }

    boolean isUp() {
      return process != null && process.isAlive();
    }

    int port(String field) {
      String address = fields.get(field);
      return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private String render() throws IOException {
      String template = Files.readString(Path.of("deploy/settings.json.template"));
      Matcher matcher = PLACEHOLDER.matcher(template);
      StringBuilder text = new StringBuilder();
      while (matcher.find()) {
        String value = fields.getOrDefault(matcher.group(1), "");
        boolean quoted = matcher.group(2) != null && !value.matches("-?[0-9.]+|true|false");
        matcher.appendReplacement(
            text, Matcher.quoteReplacement(quoted ? '"' + value + '"' : value));
      }
      return matcher.appendTail(text).toString();
    }
  }

  private final Path folder;
  private final Recorder record;
  private final int storePort;
  private final Map<String, List<String>> commands = new LinkedHashMap<>();
  final List<Node> nodes = new ArrayList<>();
  Deployment(Path folder, int storePort, Recorder record) throws IOException {
    this.folder = folder;
    this.storePort = storePort;
    this.record = record;
    String role = "";
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[roles.")) {
        role = line.substring("[roles.".length(), line.indexOf(']'));
      } else if (line.startsWith("run = ")) {
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        commands.put(role, List.of(command.split(" ")));
      }
    }
    if (!commands.containsKey("entry") || !commands.containsKey("side")) {
      throw new IOException("the deploy file lacks a command");
    }
  }

  private Node node(String name, String role, double share) throws IOException {
    Node node = new Node(name, role);
    Map<String, String> fields = node.fields;
    fields.put("node", name);
    fields.put("role", role);
    fields.put("ip", "127.0.0.1");
    fields.put("port_range.0", Integer.toString(Http.freePort()));
    fields.put("platform.addr", "127.0.0.1:" + storePort);
    fields.put("platform.parts", "24");
    fields.put("bounds.max_hold_ms", "10000");
    fields.put("bounds.status_s", "120");
    fields.put("bounds.config_ms", "2000");
    fields.put("bounds.grace_s", "6");
    fields.put("bounds.cross_rack_factor", "1.5");
    fields.put("limits.cpu_share", Double.toString(share));
    fields.put("limits.cores", "1");
    nodes.add(node);
    return node;
  }

  Node entry(String name) throws IOException {
    Node node = node(name, "entry", 0.75);
    node.fields.put("listen.front", "127.0.0.1:" + Http.freePort());
    node.fields.put("listen.ready", "127.0.0.1:" + Http.freePort());
    return node;
  }

  Node side(String name, int workerPort) throws IOException {
    Node node = node(name, "side", 0.45);
    node.fields.put("listen.control", "127.0.0.1:" + Http.freePort());
    node.fields.put("app", "127.0.0.1:" + workerPort);
    return node;
  }

  /** Kills what is still up; also if the case itself is ended. */
  void killAll() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() throws InterruptedException {
    killAll();
    for (Node node : nodes) {
      if (node.process != null) {
        node.process.waitFor(5, TimeUnit.SECONDS);
      }
    }
  }
}
