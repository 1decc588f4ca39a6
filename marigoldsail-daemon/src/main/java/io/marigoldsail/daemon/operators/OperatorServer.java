package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.observe.Metrics;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.HostPort;
import java.io.IOException;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server on the operators' address.
 *
 * <p>Bodies are at most {@link #MAX_BODY_BYTES} bytes, errors are problem details. Few threads and
 * no reserved ones, since the side process shares its VM: a handler must not block. Safe for any
 * thread; start and close once.
 */
public final class OperatorServer implements AutoCloseable {
  /** The largest body taken, in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  private static final EventLog LOG = EventLog.of(OperatorServer.class);
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 3;
  private static final int IDLE_TIMEOUT_MILLIS = 30_000;
  private static final int ACCEPT_QUEUE_SIZE = 128;

  /**
   * The most connections held open. Guards a side process's small heap against a flood: past it
   * nothing is accepted until one closes, and idle ones are closed after {@link
   * #IDLE_TIMEOUT_AT_LIMIT_MILLIS}, so that operators get in again.
   */
  static final int MAX_CONNECTIONS = 128;

  private static final long IDLE_TIMEOUT_AT_LIMIT_MILLIS = 1_000;

  private final HostPort address;
  private final RouteTable routes = new RouteTable();
  private final Server server;
  private final ServerConnector connector;

  /**
   * Creates a server that does not listen yet; {@code GET /metrics} is there from the start.
   *
   * @param address where to listen; port 0 for any free one
   * @param metrics what {@code /metrics} shows
   */
  public OperatorServer(HostPort address, Metrics metrics) {
    this.address = requireNonNull(address, "address");
    requireNonNull(metrics, "metrics");
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, IDLE_TIMEOUT_MILLIS);
    threads.setReservedThreads(0);
    threads.setName("operators");
    // Pooled buffers can be mixed up beside garbage: see docs/decisions/0205.
    server = new Server(threads, null, new ByteBufferPool.NonPooling());
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
    connector.setHost(address.host());
    connector.setPort(address.port());
    connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    NetworkConnectionLimit limit = new NetworkConnectionLimit(MAX_CONNECTIONS, connector);
    limit.setEndPointIdleTimeout(IDLE_TIMEOUT_AT_LIMIT_MILLIS);
    server.addBean(limit);
    server.setHandler(new OperatorJettyHandler(routes));
    server.setErrorHandler(OperatorJettyHandler::writeJettyError);
    registerSynchronous(
        "GET",
        "/metrics",
        request -> Result.ok(new OperatorResponse(200, Metrics.MEDIA_TYPE, metrics.text())));
  }

  /**
   * Serves a route from now on.
   *
   * @param method the HTTP method
   * @param template the path, with names in braces for what varies, such as {@code /jobs/{name}}
   * @throws IllegalArgumentException if the route is registered already
   */
  public void register(String method, String template, OperatorHandler handler) {
    routes.add(method, template, handler);
  }

  /** Serves a route whose answers are there at once. */
  public void registerSynchronous(
      String method, String template, OperatorHandler.Synchronous handler) {
    register(method, template, OperatorHandler.synchronous(handler));
  }

  /**
   * Begins to listen.
   *
   * @return the port, or a failure that names the address, such as when it is in use
   */
  public Result<Integer> start() {
    try {
      server.start();
    } catch (Exception e) {
      Throwable cause = e instanceof IOException && e.getCause() != null ? e.getCause() : e;
      return Result.failed(
          ErrorKind.INVALID_CONTENT,
          "addresses.operators: cannot listen on " + address + ": " + cause.getMessage());
    }
    LOG.info(LogLine.of("operators-listening").with("address", address).with("port", port()));
    return Result.ok(port());
  }

  /** Returns the port listened on. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns how many connections are open. */
  int openConnections() {
    return connector.getConnectedEndPoints().size();
  }

  /** Stops listening and ends all connections. */
  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      LOG.warning(LogLine.of("operators-stop-failed").withError(e));
    }
  }
}
