import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/**
 * Stand-in of an executor, as PROTOCOL.md describes it: leases, fences, incarnations, capacity,
 * gangs, ends that are listed until they are taken note of. All executors of a case share one
 * {@link Work}, which knows the jobs and records what ran.
 */
final class Executor {
  private static final int HEARTBEAT_MILLIS = 1_500;
  private static final int GANG_TIMEOUT_MILLIS = 3_000;
  private static final int MAX_HOLD_MILLIS = 10_000;

  /** What the clients sent: how long the tasks of a step work, and how many there are. */
  record Step(int count, int cpu, long millis, boolean gang, boolean lasts) {}

  /** The jobs, and a record of all starts and ends. The lock of all executors. */
  static final class Work {
    final Map<String, List<Step>> jobs = new HashMap<>();
    final Map<String, List<String>> starts = new LinkedHashMap<>();
    final Map<String, List<String>> ends = new LinkedHashMap<>();
    final Map<String, Long> lastStart = new HashMap<>();
    final List<Executor> executors = new ArrayList<>();
    final Recorder recorder;

    Work(Recorder recorder) {
      this.recorder = recorder;
    }

    Step step(String task) {
      String[] parts = task.split("\\.");
      List<Step> steps = jobs.get(parts[0]);
      int step = Integer.parseInt(parts[2]);
      return steps == null || step >= steps.size() ? null : steps.get(step);
    }

    /** Returns whether the job has a run at this moment. */
    synchronized boolean runs(String id) {
      return executors.stream().anyMatch(each -> each.running.keySet().stream().anyMatch(t -> t.startsWith(id + ".")));
    }

    /** Returns whether all tasks of the job have ended done. */
    synchronized boolean isDone(String id) {
      List<Step> steps = jobs.get(id);
      int done = 0;
      int all = 0;
      for (int step = 0; step < steps.size(); step++) {
        all += steps.get(step).count();
        for (int index = 0; index < steps.get(step).count(); index++) {
          List<String> ended = ends.get(id + ".0." + step + "." + index);
          done += ended != null && ended.get(ended.size() - 1).endsWith("done") ? 1 : 0;
        }
      }
      return done == all;
    }

    synchronized boolean hasStarted(String id) {
      return starts.keySet().stream().anyMatch(task -> task.startsWith(id + "."));
    }

    synchronized int startsOf(String id) {
      return starts.entrySet().stream()
          .filter(each -> each.getKey().startsWith(id + "."))
          .mapToInt(each -> each.getValue().size())
          .sum();
    }

    synchronized long lastStartOf(String id) {
      return lastStart.getOrDefault(id, 0L);
    }
  }

  private static final class Run {
    final String task;
    final int attempt;
    final Step step;
    final long arrivedAt = System.nanoTime();
    long workedNanos;

    Run(String task, int attempt, Step step) {
      this.task = task;
      this.attempt = attempt;
      this.step = step;
    }
  }

  private record End(long number, String task, int attempt, String how) {}

  final String name;
  final String id;
  private final Work work;
  private final int cpu;
  private final String rack;
  private final HttpServer server;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> highest = new HashMap<>();
  private final TreeMap<Long, End> finished = new TreeMap<>();
  private final long clockStart = System.nanoTime() - 482_113_000_000L;
  private long fence;
  private long deadline;
  private long ends;
  private volatile boolean closed;

  Executor(
      String name, String id, Work work, int cpu, String rack, ExecutorService threads)
      throws IOException {
    this.name = name;
    this.id = id;
    this.work = work;
    this.cpu = cpu;
    this.rack = rack;
    synchronized (work) {
      work.executors.add(this);
    }
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void close() {
    closed = true;
    server.stop(0);
  }

  /** Starts to work and to send heartbeats to the side process of its machine. */
  void start(String control, String service) {
    Thread clock = new Thread(this::tickForever, "clock-" + name);
    clock.setDaemon(true);
    clock.start();
    Thread beats = new Thread(() -> beatForever(control, service), "beats-" + name);
    beats.setDaemon(true);
    beats.start();
  }

  private long clockMillis() {
    return (System.nanoTime() - clockStart) / 1_000_000;
  }

  private void beatForever(String control, String service) {
    long sequence = 0;
    while (!closed) {
      try {
        ObjectNode body = Store.JSON.createObjectNode();
        body.put("service", service).put("addr", address()).put("zone", "zone-a");
        body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_left_ms", 0);
        body.putObject("capacity").put("cpu", cpu).put("mem_mb", 64_000).put("gpu", 0);
        body.putArray("labels").add("a").add(rack);
        body.put("clock_ms", clockMillis()).put("seq", ++sequence);
        URL url = new URL("http://" + control + "/api/executors/" + id);
        HttpURLConnection call = (HttpURLConnection) url.openConnection();
        call.setRequestMethod("PUT");
        call.setConnectTimeout(1_000);
        call.setReadTimeout(1_000);
        call.setDoOutput(true);
        call.setRequestProperty("Content-Type", "application/json");
        call.getOutputStream().write(Store.JSON.writeValueAsBytes(body));
        call.getResponseCode();
        call.disconnect();
      } catch (IOException e) {
        // The side process is not reachable; the next heartbeat follows.
      }
      sleep(HEARTBEAT_MILLIS);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tickForever() {
    long before = System.nanoTime();
    while (!closed) {
      sleep(10);
      long now = System.nanoTime();
      synchronized (work) {
        tick(now, now - before);
      }
      before = now;
    }
  }

  private void tick(long now, long elapsed) {
    if (!running.isEmpty() && clockMillis() > deadline) {
      for (Run run : List.copyOf(running.values())) {
        end(run, "lapsed");
      }
    }
    for (Run run : List.copyOf(running.values())) {
      if (!running.containsKey(run.task)) {
        continue;
      }
      if (run.step.gang()) {
        tickGang(run, now, elapsed);
      } else {
        run.workedNanos += elapsed;
        if (!run.step.lasts() && run.workedNanos >= run.step.millis() * 1_000_000) {
          end(run, "done");
        }
      }
    }
  }

  /** The members work while all of one run are present, and end done together. */
  private void tickGang(Run run, long now, long elapsed) {
    List<Executor> places = new ArrayList<>();
    List<Run> members = new ArrayList<>();
    String step = run.task.substring(0, run.task.lastIndexOf('.') + 1);
    for (Executor executor : work.executors) {
      for (Run other : executor.running.values()) {
        if (other.task.startsWith(step) && other.attempt == run.attempt) {
          places.add(executor);
          members.add(other);
        }
      }
    }
    if (members.size() < run.step.count()) {
      if (run.workedNanos == 0 && now - run.arrivedAt > GANG_TIMEOUT_MILLIS * 1_000_000L) {
        end(run, "alone");
      }
      return;
    }
    run.workedNanos += elapsed;
    if (members.stream().allMatch(each -> each.workedNanos >= run.step.millis() * 1_000_000)) {
      for (int i = 0; i < members.size(); i++) {
        places.get(i).finish(members.get(i), "done");
      }
    }
  }

  private void end(Run run, String how) {
    finish(run, how);
    if (!run.step.gang()) {
      return;
    }
    String step = run.task.substring(0, run.task.lastIndexOf('.') + 1);
    for (Executor executor : work.executors) {
      for (Run other : List.copyOf(executor.running.values())) {
        boolean member = other.task.startsWith(step) && other.attempt == run.attempt;
        if (member && other.workedNanos > 0) {
          executor.finish(other, "broken");
        }
      }
    }
  }

  private void finish(Run run, String how) {
    running.remove(run.task);
    highest.merge(run.task, run.attempt, Math::max);
    finished.put(++ends, new End(ends, run.task, run.attempt, how));
    work.ends.computeIfAbsent(run.task, unused -> new ArrayList<>()).add(run.attempt + " " + how);
    work.recorder.write("run " + run.task + " attempt " + run.attempt + " ends " + how + " on " + name);
    work.notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      JsonNode body = Store.JSON.readTree(exchange.getRequestBody().readAllBytes());
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      ObjectNode answer = Store.JSON.createObjectNode();
      int status;
      synchronized (work) {
        status =
            expected != null && !expected.equals(id)
                ? 421
                : call(exchange.getRequestURI().getPath(), body, answer);
        answer.put("clock_ms", clockMillis());
      }
      byte[] bytes = Store.JSON.writeValueAsBytes(answer);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private int call(String path, JsonNode body, ObjectNode answer) throws InterruptedException {
    long called = body.path("fence").asLong(0);
    if (called < fence) {
      answer.put("reason", "fence");
      return 409;
    }
    fence = called;
    switch (path) {
      case "/api/run-start":
        return runStart(body, answer);
      case "/api/run-stop":
        runStop(body);
        return 200;
      case "/api/hold":
        hold(body, answer);
        return 200;
      case "/api/pace":
        return 200;
      default:
        return 400;
    }
  }

  private void extend(JsonNode body) {
    if (body.has("deadline_ms")) {
      long wanted = Math.min(body.path("deadline_ms").asLong(), clockMillis() + MAX_HOLD_MILLIS);
      deadline = Math.max(deadline, wanted);
    }
  }

  private int runStart(JsonNode body, ObjectNode answer) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    Run present = running.get(task);
    if (present != null && present.attempt == attempt) {
      extend(body);
      return 200;
    }
    if (body.path("deadline_ms").asLong() <= clockMillis()) {
      answer.put("reason", "late");
      return 409;
    }
    if (present != null || attempt <= highest.getOrDefault(task, 0)) {
      extend(body);
      answer.put("reason", "old");
      return 409;
    }
    Step step = work.step(task);
    int used = running.values().stream().mapToInt(run -> run.step.cpu()).sum();
    if (step != null && used + step.cpu() > cpu) {
      extend(body);
      answer.put("reason", "room");
      return 409;
    }
    work.recorder.write("run " + task + " attempt " + attempt + " starts on " + name);
    work.starts.computeIfAbsent(task, unused -> new ArrayList<>()).add(name + " " + attempt);
    work.lastStart.put(task.substring(0, task.indexOf('.')), System.nanoTime());
    if (step == null) {
      work.recorder.write("run " + task + " was sent by no client");
      return 400;
    }
    extend(body);
    running.put(task, new Run(task, attempt, step));
    return 200;
  }

  private void runStop(JsonNode body) {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    highest.merge(task, attempt, Math::max);
    Run run = running.get(task);
    if (run != null && run.attempt <= attempt) {
      end(run, "stopped");
    }
  }

  private void hold(JsonNode body, ObjectNode answer) throws InterruptedException {
    extend(body);
    finished.headMap(body.path("last_seen").asLong(0), true).clear();
    long until = System.nanoTime() + body.path("wait_ms").asLong(0) * 1_000_000;
    while (finished.isEmpty() && System.nanoTime() < until) {
      work.wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    ArrayNode rows = answer.putArray("running");
    for (Run run : running.values()) {
      long percent =
          run.step.lasts() ? 100 : Math.min(99, run.workedNanos / 10_000 / run.step.millis());
      rows.addArray().add(run.task).add(run.attempt).add("").add(percent).add(run.step.cpu());
    }
    ArrayNode ended = answer.putArray("finished");
    for (End end : finished.values()) {
      if (ended.size() < 500) {
        ended.addArray().add(end.number).add(end.task).add(end.attempt).add(end.how).add("");
      }
    }
  }
}
