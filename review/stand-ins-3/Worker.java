import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An executor with its machine, as PROTOCOL.md says. What a task needs is told by the case. */
final class Worker {
  /**
   * What a task does.
   *
   * @param tailMillis the tail latency of a task that serves; 0 for others, which use their cpu
   * @param fills whether its cpu isn't counted against the capacity
   */
  record Behaviour(
      int cpu,
      int memory,
      long workMillis,
      boolean lasts,
      String checkpointPrefix,
      int tailMillis,
      boolean fills) {
    Behaviour(int cpu, int memory, long workMillis, boolean lasts, String checkpointPrefix) {
      this(cpu, memory, workMillis, lasts, checkpointPrefix, 0, false);
    }

    int counted() {
      return fills ? 0 : cpu;
    }

    int figure() {
      return tailMillis > 0 ? tailMillis : cpu;
    }
  }

  /** Knows the tasks of the jobs that the clients hand in. */
  interface Work {
    /** Returns what the task does, or null if no client sent it. */
    Behaviour of(String task, String spec);
  }

  /** A run that began here. */
  record Run(String task, int attempt, Behaviour behaviour, long began) {}

  private record End(long number, String task, int attempt, String how, String saved) {}

  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final int LISTED_ENDS = 500;

  final String id;
  private final String service;
  private final List<String> labels;
  private final int cpu;
  private final int memory;
  private final long maxHoldMillis;
  private final long stopMillis;
  private final Work work;
  private final Recorder record;
  private final long bornAt = System.nanoTime() / 1_000_000 - 100_000;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> stopping = new HashMap<>();
  private final Map<String, Integer> over = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private long fence;
  private long deadline;
  private long lastEnd;
  private long sequence;
  private volatile boolean closed;
  private Http http;

  /** The time of the start, told where executors start again under their ids; 0 if it isn't told. */
  private long born;

  private long firstBeatMillis;
  long starts;

  Worker(
      String id,
      String service,
      List<String> labels,
      int cpu,
      int memory,
      long maxHoldMillis,
      long stopMillis,
      Work work,
      Recorder record) {
    this.id = id;
    this.service = service;
    this.labels = labels;
    this.cpu = cpu;
    this.memory = memory;
    this.maxHoldMillis = maxHoldMillis;
    this.stopMillis = stopMillis;
    this.work = work;
    this.record = record;
  }

  /** Lets the executor tell the time of its start, and when it sends its first heartbeat. */
  Worker telling(long bornMillis, long firstBeatAfterMillis) {
    born = bornMillis;
    firstBeatMillis = firstBeatAfterMillis;
    return this;
  }

  void start(int port, int controlPort) throws IOException {
    http = Http.start(port, this::handle);
    thread(() -> beat(port, controlPort));
    thread(this::tick);
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private ObjectNode tellBirth(ObjectNode body) {
    return born > 0 ? body.put("born", born) : body;
  }

  private long clock() {
    return System.nanoTime() / 1_000_000 - bornAt;
  }

  private void beat(int port, int controlPort) {
    pause(firstBeatMillis);
    while (!closed) {
      try {
        ObjectNode body = Http.object();
        body.put("service", service).put("addr", "127.0.0.1:" + port).put("zone", "hall");
        body.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_left_ms", 0);
        body.putObject("capacity").put("cpu", cpu).put("mem_mb", memory).put("gpu", 0);
        ArrayNode named = body.putArray("labels");
        labels.forEach(named::add);
        body.put("clock_ms", clock()).put("seq", ++sequence);
        tellBirth(body);
        client.send(
            HttpRequest.newBuilder(
                    URI.create("http://127.0.0.1:" + controlPort + "/api/executors/" + id))
                .timeout(Duration.ofSeconds(1))
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofByteArray(Http.JSON.writeValueAsBytes(body)))
                .build(),
            HttpResponse.BodyHandlers.discarding());
      } catch (IOException e) {
        // No process serves the address now.
      } catch (InterruptedException e) {
        return;
      }
      pause(HEARTBEAT_MILLIS);
    }
  }

  private void tick() {
    while (!closed) {
      pause(10);
      synchronized (this) {
        long now = clock();
        if (now > deadline) {
          List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
        }
        for (Run run : List.copyOf(running.values())) {
          Long stoppedAt = stopping.get(run.task());
          if (stoppedAt != null) {
            if (now >= stoppedAt + stopMillis / 2) {
              end(run, "stopped");
            }
          } else if (!run.behaviour().lasts() && now >= run.began() + run.behaviour().workMillis()) {
            end(run, "done");
          }
        }
      }
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String saved(Run run) {
    long steps = (clock() - run.began()) / 500;
    String prefix = run.behaviour().checkpointPrefix();
    boolean none = prefix.isEmpty() || (steps == 0 && run.behaviour().workMillis() > 500);
    return none ? "" : prefix + String.format("%08x", (run.task() + steps).hashCode());
  }

  private void end(Run run, String how) {
    running.remove(run.task());
    stopping.remove(run.task());
    over.merge(run.task(), run.attempt(), Math::max);
    ends.add(new End(++lastEnd, run.task(), run.attempt(), how, saved(run)));
    record.line("%s: %s run %d ends %s", id, run.task(), run.attempt(), how);
    notifyAll();
  }

  private Http.Reply handle(Http.Call call) throws Exception {
    if (call.path().equals("/healthz")) {
      return Http.Reply.of(200);
    }
    if (!call.expected().isEmpty() && !call.expected().equals(id)) {
      return Http.Reply.json(421, Http.object().put("clock_ms", clock()));
    }
    JsonNode body = call.json();
    synchronized (this) {
      long given = body.path("fence").asLong(0);
      if (given < fence) {
        return refuse("fence");
      }
      fence = given;
      return switch (call.path()) {
        case "/api/run-start" -> start(body);
        case "/api/run-stop" -> stop(body);
        case "/api/hold" -> hold(body);
        case "/api/pace" -> ok();
        default -> Http.Reply.of(404);
      };
    }
  }

  private Http.Reply ok() throws IOException {
    return Http.Reply.json(200, Http.object().put("clock_ms", clock()));
  }

  private Http.Reply refuse(String reason) throws IOException {
    return Http.Reply.json(409, Http.object().put("clock_ms", clock()).put("reason", reason));
  }

  private void extend(JsonNode body) {
    if (body.has("deadline_ms")) {
      long asked = Math.min(body.path("deadline_ms").asLong(), clock() + maxHoldMillis);
      deadline = Math.max(deadline, asked);
    }
  }

  private Http.Reply start(JsonNode body) throws IOException {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    Run known = running.get(task);
    if (known != null && known.attempt() == attempt) {
      return ok();
    }
    Behaviour behaviour = work.of(task, body.path("spec").asText());
    if (behaviour == null) {
      record.line("%s: told to start %s, which no client sent", id, task);
      return Http.Reply.of(400);
    }
    if (body.path("deadline_ms").asLong() <= clock()) {
      return refuse("late");
    }
    extend(body);
    if (attempt <= over.getOrDefault(task, 0) || known != null) {
      return refuse("old");
    }
    int usedCpu = running.values().stream().mapToInt(run -> run.behaviour().counted()).sum();
    int usedMemory = running.values().stream().mapToInt(run -> run.behaviour().memory()).sum();
    if (usedCpu + behaviour.counted() > cpu || usedMemory + behaviour.memory() > memory) {
      return refuse("room");
    }
    running.put(task, new Run(task, attempt, behaviour, clock()));
    starts++;
    record.line("%s: %s run %d starts", id, task, attempt);
    return ok();
  }

  private Http.Reply stop(JsonNode body) throws IOException {
    String task = body.path("task").asText();
    int attempt = body.path("attempt").asInt();
    Run run = running.get(task);
    if (run != null && run.attempt() == attempt) {
      stopping.putIfAbsent(task, clock());
    } else {
      over.merge(task, attempt, Math::max);
    }
    return ok();
  }

  private Http.Reply hold(JsonNode body) throws Exception {
    extend(body);
    long seen = body.path("last_seen").asLong();
    ends.removeIf(end -> end.number() <= seen);
    long until = clock() + Math.min(2_000, body.path("wait_ms").asLong(0));
    while (ends.isEmpty() && clock() < until) {
      wait(Math.max(1, until - clock()));
    }
    ObjectNode answer = tellBirth(Http.object().put("clock_ms", clock()));
    ArrayNode active = answer.putArray("running");
    for (Run run : running.values()) {
      long worked = 100 * (clock() - run.began()) / run.behaviour().workMillis();
      int percent = run.behaviour().lasts() ? 100 : (int) Math.min(100, worked);
      active.addArray().add(run.task()).add(run.attempt()).add(saved(run)).add(percent);
      ((ArrayNode) active.get(active.size() - 1)).add(run.behaviour().figure());
    }
    ArrayNode finished = answer.putArray("finished");
    for (End end : ends.subList(0, Math.min(LISTED_ENDS, ends.size()))) {
      finished
          .addArray()
          .add(end.number())
          .add(end.task())
          .add(end.attempt())
          .add(end.how())
          .add(end.saved());
    }
    return Http.Reply.json(200, answer);
  }

  /** Returns the tasks that run here now. */
  synchronized List<String> running() {
    return List.copyOf(running.keySet());
  }

  /** Returns the processors in use, in thousandths of a core. */
  synchronized int used() {
    return running.values().stream().mapToInt(run -> run.behaviour().counted()).sum();
  }

  int cpu() {
    return cpu;
  }

  /** Ends without a word, with all that runs here. */
  void crash() {
    closed = true;
    synchronized (this) {
      running.clear();
      record.say("%s: crash", id);
    }
    http.stop();
  }

  void stop() {
    closed = true;
    http.stop();
  }
}
