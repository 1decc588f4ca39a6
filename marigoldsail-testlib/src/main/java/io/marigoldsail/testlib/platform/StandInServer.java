package io.marigoldsail.testlib.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP server of a stand-in, with helpers for JSON responses. */
final class StandInServer implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int MIN_THREADS = 8;

  private final Server server;
  private final ServerConnector connector;
  private final String host;

  StandInServer(String host, int port, int maxThreads, Handler handler) {
    this.host = host;
    QueuedThreadPool threads = new QueuedThreadPool(maxThreads, MIN_THREADS);
    threads.setDaemon(true);
    this.server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(host);
    connector.setPort(port);
    server.addConnector(connector);
    server.setHandler(handler);
  }

  Server server() {
    return server;
  }

  void start() {
    try {
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the stand-in server: " + e.getMessage(), e);
    }
  }

  String address() {
    return "http://" + host + ":" + connector.getLocalPort();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the stand-in server: " + e.getMessage(), e);
    }
  }

  /** Responds with a value as JSON. */
  static boolean respond(Response response, Callback callback, int status, Object value) {
    byte[] bytes;
    try {
      bytes = JSON.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot serialize to JSON: " + e.getMessage(), e);
    }
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(bytes), callback);
    return true;
  }

  /** Responds with an error status and a {@code detail} message. */
  static boolean respondError(Response response, Callback callback, int status, String detail) {
    return respond(response, callback, status, JSON.createObjectNode().put("detail", detail));
  }

  /** Closes the connection without a response. */
  static boolean closeConnection(Request request, Callback callback) {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new EofException("connection closed by an injected fault"));
    return true;
  }

  /**
   * Returns a copy of the value with the fields in the request's body replaced.
   *
   * @throws IOException if the body is not a JSON object with known fields of the right types
   */
  static <T> T update(T value, Class<T> type, Request request) throws IOException {
    return update(value, type, Content.Source.asString(request, StandardCharsets.UTF_8));
  }

  /**
   * Returns a copy of the value with the fields in the given body replaced; see {@link
   * #update(Object, Class, Request)}.
   */
  static <T> T update(T value, Class<T> type, String body) throws IOException {
    JsonNode current = JSON.valueToTree(value);
    JsonNode merged = JSON.readerForUpdating(current).readValue(body);
    return JSON.treeToValue(merged, type);
  }
}
