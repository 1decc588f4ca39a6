import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Stand-in of an executor (PROTOCOL.md, "Running tasks" and "Service discovery"): one life of it at
 * the {@code app} address of a side machine. The text of a job ({@code spec}) is JSON and tells how
 * long the tasks of each step work.
 */
final class Worker {
  private static final long MAX_HOLD_MILLIS = 10_000;
  private static final long STOP_MILLIS = 200;
  private static final long BEAT_MILLIS = 1_500;
  private static final long GANG_TIMEOUT_MILLIS = 3_000;
  private static final long SAVE_MILLIS = 500;
  private static final long TICK_MILLIS = 20;

  /** A run that is at work, or is being stopped. */
  static final class Run {
    final String task;
    final int attempt;
    final Worker worker;
    final long startedMillis;
    final JsonNode step;
    double workedMillis;
    double savedMillis;
    int percent = 100;
    long stopAt = Long.MAX_VALUE;

    Run(String task, int attempt, Worker worker, long startedMillis, JsonNode step) {
      this.task = task;
      this.attempt = attempt;
      this.worker = worker;
      this.startedMillis = startedMillis;
      this.step = step;
    }
  }

  private record End(long number, String task, int attempt, String how, String saved) {}

  private final ObjectMapper json = new ObjectMapper();
  private final Record record;
  private final Fleet fleet;
  final String id;
  final String machine;
  private final String app;
  private final String control;
  private final String zone;
  final List<String> labels;
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Threads.daemon());
  private final long clockOffset = ThreadLocalRandom.current().nextLong(100_000, 900_000);
  private final Map<String, Run> runs = new TreeMap<>();
  private final Map<String, Integer> over = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private long lastEnd;
  private long fence;
  private long deadline;
  private long seq;
  private volatile boolean draining;
  private volatile boolean closed;

  Worker(
      Record record,
      Fleet fleet,
      String machine,
      String app,
      String control,
      String zone,
      List<String> labels)
      throws IOException {
    this.record = record;
    this.fleet = fleet;
    this.id = "i-" + Store.newId().substring(0, 10);
    this.machine = machine;
    this.app = app;
    this.control = control;
    this.zone = zone;
    this.labels = labels;
    int colon = app.indexOf(':');
    server =
        HttpServer.create(
            new InetSocketAddress(
                app.substring(0, colon), Integer.parseInt(app.substring(colon + 1))),
            128);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    threads.execute(this::work);
    threads.execute(this::beat);
    record.add("worker %s starts on %s", id, machine);
  }

  private long clock() {
    return record.millis() + clockOffset;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      String path = exchange.getRequestURI().getPath();
      if (closed) {
        exchange.close();
        return;
      }
      if (expected != null && !expected.equals(id)) {
        answer(exchange, 421, null);
        return;
      }
      JsonNode call = body.length == 0 ? json.createObjectNode() : json.readTree(body);
      if (path.startsWith("/api/run-") && fleet.isLate()) {
        carryOutLate(exchange, path, call);
        return;
      }
      switch (path) {
        case "/api/run-start" -> start(exchange, call);
        case "/api/run-stop" -> stop(exchange, call);
        case "/api/hold" -> hold(exchange, call);
        case "/api/pace" -> pace(exchange, call);
        case "/healthz" -> answer(exchange, 200, null);
        default -> answer(exchange, 404, null);
      }
    } catch (InterruptedException | RuntimeException e) {
      exchange.close();
    }
  }

  /** Leaves the call without an answer and carries it out 2 to 12 s later. */
  private void carryOutLate(HttpExchange exchange, String path, JsonNode call)
      throws IOException, InterruptedException {
    long delay = ThreadLocalRandom.current().nextLong(2_000, 12_000);
    record.add(
        "worker %s: %s of %s#%d gets no answer and is carried out %d ms later",
        id, path, call.path("task").asText(), call.path("attempt").asInt(), delay);
    Thread.sleep(delay);
    if (!closed) {
      if (path.equals("/api/run-start")) {
        start(null, call);
      } else {
        stop(null, call);
      }
    }
    exchange.close();
  }

  private void answer(HttpExchange exchange, int status, ObjectNode body) throws IOException {
    if (exchange == null) {
      return;
    }
    if (closed) {
      exchange.close();
      return;
    }
    byte[] bytes = body == null ? new byte[0] : json.writeValueAsBytes(body.put("clock_ms", clock()));
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private ObjectNode conflict(String reason) {
    return json.createObjectNode().put("reason", reason);
  }

  /** Returns whether the call's fence holds; keeps the highest. */
  private synchronized boolean fenceHolds(JsonNode call) {
    long given = call.path("fence").asLong(0);
    if (given < fence) {
      return false;
    }
    fence = given;
    return true;
  }

  private void extend(JsonNode call) {
    if (call.has("deadline_ms")) {
      deadline =
          Math.max(deadline, Math.min(call.path("deadline_ms").asLong(), clock() + MAX_HOLD_MILLIS));
    }
  }

  private void start(HttpExchange exchange, JsonNode call) throws IOException {
    String task = call.path("task").asText();
    int attempt = call.path("attempt").asInt();
    int status;
    ObjectNode body = json.createObjectNode();
    synchronized (this) {
      Run present = runs.get(task);
      JsonNode step = fleet.step(task);
      if (!fenceHolds(call)) {
        status = 409;
        body = conflict("fence");
      } else if (present != null && present.attempt == attempt) {
        extend(call);
        status = 200;
      } else if (attempt <= over.getOrDefault(task, 0) || present != null && attempt < present.attempt) {
        extend(call);
        status = 409;
        body = conflict("old");
      } else if (call.path("deadline_ms").asLong() <= clock()) {
        status = 409;
        body = conflict("late");
      } else if (!fleet.hasTicket(task, id, call.path("ticket").asText(""))) {
        status = 409;
        body = conflict("ticket");
      } else if (!fits(step)) {
        extend(call);
        status = 409;
        body = conflict("room");
      } else {
        extend(call);
        Run run = new Run(task, attempt, this, record.millis(), step);
        String saved = call.path("checkpoint_at").asText("");
        if (!saved.isEmpty()) {
          run.workedMillis = Long.parseLong(saved, 16);
          run.savedMillis = run.workedMillis;
        }
        runs.put(task, run);
        status = 200;
        fleet.started(run, call);
      }
    }
    if (status != 200) {
      record.add("worker %s: start of %s#%d refused: %s", id, task, attempt, body.path("reason").asText());
    }
    answer(exchange, status, body);
  }

  private boolean fits(JsonNode step) {
    if (step == null || !fleet.guards()) {
      return true;
    }
    long cpu = step.path("fills").asBoolean() ? 0 : step.path("cpu").asLong();
    long memory = step.path("mem_mb").asLong();
    for (Run run : runs.values()) {
      if (run.step != null) {
        cpu += run.step.path("fills").asBoolean() ? 0 : run.step.path("cpu").asLong();
        memory += run.step.path("mem_mb").asLong();
      }
    }
    return cpu <= Fleet.CPU && memory <= Fleet.MEMORY;
  }

  private void stop(HttpExchange exchange, JsonNode call) throws IOException {
    int status = 200;
    ObjectNode body = json.createObjectNode();
    synchronized (this) {
      if (!fenceHolds(call)) {
        status = 409;
        body = conflict("fence");
      } else {
        String task = call.path("task").asText();
        int attempt = call.path("attempt").asInt();
        over.merge(task, attempt, Math::max);
        Run run = runs.get(task);
        if (run != null && run.attempt <= attempt && run.stopAt == Long.MAX_VALUE) {
          run.stopAt = record.millis() + STOP_MILLIS;
        }
      }
    }
    answer(exchange, status, body);
  }

  private void pace(HttpExchange exchange, JsonNode call) throws IOException {
    int status = 200;
    ObjectNode body = json.createObjectNode();
    synchronized (this) {
      if (!fenceHolds(call)) {
        status = 409;
        body = conflict("fence");
      } else {
        Run run = runs.get(call.path("task").asText());
        if (run != null && run.attempt == call.path("attempt").asInt()) {
          run.percent = call.path("percent").asInt();
        }
      }
    }
    answer(exchange, status, body);
  }

  private void hold(HttpExchange exchange, JsonNode call)
      throws IOException, InterruptedException {
    ObjectNode body = json.createObjectNode();
    int status = 200;
    synchronized (this) {
      if (!fenceHolds(call)) {
        status = 409;
        body = conflict("fence");
      } else {
        extend(call);
        long seen = call.path("last_seen").asLong();
        for (End end : ends) {
          if (end.number <= seen) {
            fleet.noted(this, end.task, end.attempt, end.how);
          }
        }
        ends.removeIf(end -> end.number <= seen);
        long until = record.millis() + call.path("wait_ms").asLong(0);
        while (ends.isEmpty() && !closed && record.millis() < until) {
          wait(Math.max(1, until - record.millis()));
        }
        ArrayNode running = body.putArray("running");
        for (Run run : runs.values()) {
          running
              .addArray()
              .add(run.task)
              .add(run.attempt)
              .add(saved(run))
              .add(percent(run))
              .add(measured(run));
        }
        ArrayNode finished = body.putArray("finished");
        for (End end : ends.subList(0, Math.min(500, ends.size()))) {
          finished
              .addArray()
              .add(end.number)
              .add(end.task)
              .add(end.attempt)
              .add(end.how)
              .add(end.saved);
        }
      }
    }
    answer(exchange, status, body);
  }

  private static String saved(Run run) {
    boolean saves = run.step != null && run.step.path("checkpointable").asBoolean();
    return saves && run.savedMillis > 0 ? String.format("%016x", (long) run.savedMillis) : "";
  }

  private int percent(Run run) {
    if (run.step != null && run.step.path("long_running").asBoolean()) {
      return record.millis() - run.startedMillis > 300 ? 100 : 0;
    }
    return (int) Math.min(99, 100 * run.workedMillis / Math.max(1, fleet.workMillis(run.task)));
  }

  private static long measured(Run run) {
    if (run.step == null) {
      return 0;
    }
    return run.step.path("target_ms").asLong() > 0
        ? run.step.path("target_ms").asLong() / 3
        : run.step.path("cpu").asLong() * run.percent / 100;
  }

  /** Lets the runs work, ends them, and lets the lease lapse. */
  private void work() {
    long before = record.millis();
    while (!closed) {
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
      long now = record.millis();
      double passed = now - before;
      before = now;
      List<Run> done = new ArrayList<>();
      synchronized (this) {
        boolean lapsed = clock() > deadline;
        for (Run run : List.copyOf(runs.values())) {
          boolean gang = run.step != null && run.step.path("gang").asBoolean();
          if (lapsed) {
            end(run, "lapsed");
          } else if (now >= run.stopAt) {
            run.savedMillis = run.workedMillis;
            end(run, "stopped");
          } else if (!gang || fleet.gangPresent(run)) {
            run.workedMillis += passed * run.percent / 100;
            if (run.workedMillis - run.savedMillis >= SAVE_MILLIS) {
              run.savedMillis = run.workedMillis;
            }
            boolean lasts = run.step != null && run.step.path("long_running").asBoolean();
            if (!lasts && run.workedMillis >= fleet.workMillis(run.task)) {
              if (gang) {
                done.add(run);
              } else {
                end(run, fleet.fails(run) ? "failed" : "done");
              }
            }
          } else if (now - run.startedMillis > GANG_TIMEOUT_MILLIS && !fleet.wasPresent(run)) {
            end(run, "alone");
          }
        }
      }
      done.forEach(run -> fleet.endGang(run, fleet.fails(run) ? "failed" : "done"));
    }
  }

  /** Ends the run, if it is at work. */
  void end(Run run, String how) {
    synchronized (this) {
      if (closed || runs.get(run.task) != run) {
        return;
      }
      runs.remove(run.task);
      over.merge(run.task, run.attempt, Math::max);
      ends.add(new End(++lastEnd, run.task, run.attempt, how, saved(run)));
      fleet.ended(run, how);
      notifyAll();
    }
  }

  private void beat() {
    while (!closed) {
      tellState();
      try {
        Thread.sleep(BEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean tellState() {
    ObjectNode body = json.createObjectNode();
    body.put("service", Fleet.SERVICE).put("addr", app).put("zone", zone).put("version", "v1");
    body.put("slots", 8).put("state", draining ? "draining" : "ready").put("cold_left_ms", 0);
    body.putObject("capacity").put("cpu", Fleet.CPU).put("mem_mb", Fleet.MEMORY).put("gpu", 0);
    labels.forEach(body.putArray("labels")::add);
    body.put("clock_ms", clock());
    synchronized (this) {
      body.put("seq", ++seq);
    }
    if (draining) {
      body.put("remaining_ms", 4_000);
    }
    return call("PUT", body);
  }

  private boolean call(String method, ObjectNode body) {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              new URL("http://" + control + "/api/executors/" + id).openConnection();
      call.setRequestMethod(method);
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      if (body != null) {
        call.setDoOutput(true);
        call.setRequestProperty("Content-Type", "application/json");
        call.getOutputStream().write(json.writeValueAsString(body).getBytes(StandardCharsets.UTF_8));
      }
      int status = call.getResponseCode();
      call.disconnect();
      return status / 100 == 2;
    } catch (IOException e) {
      return false;
    }
  }

  /** Crashes: everything that runs on it ends, and nothing is sent any more. */
  void crash() {
    List<Run> lost;
    synchronized (this) {
      closed = true;
      lost = List.copyOf(runs.values());
      runs.clear();
      notifyAll();
    }
    server.stop(0);
    threads.shutdownNow();
    record.add("worker %s on %s crashes with %d runs", id, machine, lost.size());
    lost.forEach(run -> fleet.lost(run));
  }

  /** Says that it leaves. */
  boolean drain() {
    draining = true;
    boolean acknowledged = tellState();
    record.add("worker %s on %s drains, acknowledged %s", id, machine, acknowledged);
    return acknowledged;
  }

  /** Takes its leave and ends. */
  void leave() {
    record.add("worker %s on %s leaves, acknowledged %s", id, machine, call("DELETE", null));
    crash();
  }

  synchronized List<Run> running() {
    return List.copyOf(runs.values());
  }
}
