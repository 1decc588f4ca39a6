import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;

/** Stand-in of the service for advice (PROTOCOL.md, {@code POST /api/advise}). */
final class Adviser {
  static final long DECIDE_MILLIS = 20;
  static final long PERIOD_MILLIS = 5;
  static final long VALID_MILLIS = 4_000;

  private final ObjectMapper json = new ObjectMapper();
  private final Record record;
  private final Set<String> advisedJobs = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> tickets = new ConcurrentHashMap<>();
  private final HttpServer server;

  Adviser(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
    server.setExecutor(Executors.newCachedThreadPool(Threads.daemon()));
    server.createContext("/api/advise", this::advise);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Makes the job one on the queue with advice. */
  void advises(String job) {
    advisedJobs.add(job);
  }

  /** Returns whether the worker may run the step; two of three may. */
  static boolean allows(String step, String worker) {
    return Math.floorMod((step + worker).hashCode(), 3) != 0;
  }

  boolean isValid(String task, String worker, String ticket) {
    String job = task.substring(0, task.indexOf('.'));
    if (!advisedJobs.contains(job)) {
      return true;
    }
    String step = task.substring(0, task.lastIndexOf('.'));
    Long until = tickets.get(step + "/" + worker + "/" + ticket);
    return until != null && record.millis() <= until;
  }

  private void advise(HttpExchange exchange) throws IOException {
    JsonNode call = json.readTree(exchange.getRequestBody().readAllBytes());
    String step = call.path("step").asText();
    ObjectNode answer = json.createObjectNode();
    ArrayNode allowed = answer.putArray("allowed");
    try {
      Thread.sleep(DECIDE_MILLIS + PERIOD_MILLIS * call.path("workers").size());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (JsonNode worker : call.path("workers")) {
      if (allows(step, worker.asText())) {
        String ticket = Store.newId();
        tickets.put(step + "/" + worker.asText() + "/" + ticket, record.millis() + VALID_MILLIS);
        allowed.addArray().add(worker.asText()).add(ticket);
      }
    }
    byte[] bytes = json.writeValueAsBytes(answer);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
