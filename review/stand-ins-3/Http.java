import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP server on loopback for the stand-ins of the cases. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  /** A request, whose body has been read. */
  record Call(String method, String path, Map<String, String> query, byte[] body, String expected) {
    JsonNode json() throws IOException {
      return JSON.readTree(body);
    }

    long number(String name, long otherwise) {
      String text = query.get(name);
      return text == null ? otherwise : Long.parseLong(text);
    }
  }

  /** A response; a status of 0 closes the connection without one. */
  record Reply(int status, byte[] body, String type) {
    static Reply json(int status, JsonNode body) throws IOException {
      return new Reply(status, JSON.writeValueAsBytes(body), "application/json");
    }

    static Reply of(int status) {
      return new Reply(status, new byte[0], "application/json");
    }
  }

  /** Handles requests; may block. */
  interface Handler {
    Reply handle(Call call) throws Exception;
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Http::daemon);

  private Http(HttpServer server) {
    this.server = server;
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  static Http start(int port, Handler handler) throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "5000");
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1024);
    Http http = new Http(server);
    server.setExecutor(http.threads);
    server.createContext("/", exchange -> serve(exchange, handler));
    server.start();
    return http;
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
      Reply reply =
          handler.handle(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getRawPath(),
                  query(exchange.getRequestURI().getRawQuery()),
                  body,
                  expected == null ? "" : expected));
      if (reply.status() == 0) {
        return;
      }
      exchange.getResponseHeaders().set("Content-Type", reply.type());
      int length = reply.body().length;
      exchange.sendResponseHeaders(reply.status(), length == 0 ? -1 : length);
      if (length > 0) {
        exchange.getResponseBody().write(reply.body());
      }
    } catch (IOException | InterruptedException e) {
      // The caller is gone, or the case ends.
    } catch (Exception e) {
      e.printStackTrace();
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> fields = new HashMap<>();
    if (text != null) {
      for (String pair : text.split("&")) {
        int equals = pair.indexOf('=');
        if (equals > 0) {
          fields.put(
              pair.substring(0, equals),
              URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
    }
    return fields;
  }

  void stop() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** Returns the state in the answer on a job. */
  static String state(String body) {
    try {
      return JSON.readTree(body).path("state").asText();
    } catch (IOException e) {
      return "unreadable";
    }
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  private static int nextPort = 20_000 + ThreadLocalRandom.current().nextInt(8_000);

  /**
   * Returns a free port, each once, below those that systems give to outgoing connections: such a
   * connection could take the port before the process that is to listen on it starts.
   */
  static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < 2_000; tries++) {
      int port = nextPort++;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // In use.
      }
    }
    throw new IOException("no free port");
  }
}
