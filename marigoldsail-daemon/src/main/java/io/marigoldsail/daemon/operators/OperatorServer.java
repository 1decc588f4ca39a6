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
 * <p>Request bodies are limited to {@link #MAX_BODY_BYTES} bytes; errors are returned as problem
 * details. The thread pool is small and has no reserved threads because a side process shares its
 * VM with other work, so handlers must not block. Thread-safe; start and close it once.
 */
public final class OperatorServer implements AutoCloseable {
  /** The maximum size of a request body, in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  private static final EventLog LOG = EventLog.of(OperatorServer.class);
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 3;
  private static final int IDLE_TIMEOUT_MILLIS = 30_000;
  private static final int ACCEPT_QUEUE_SIZE = 128;

  /**
   * The maximum number of open connections. Protects the small heap of a side process against a
   * flood of connections. At the limit no connection is accepted until another one closes, and idle
   * connections are closed after {@link #IDLE_TIMEOUT_AT_LIMIT_MILLIS}, so that operators can
   * connect again.
   */
  static final int MAX_CONNECTIONS = 128;

  private static final long IDLE_TIMEOUT_AT_LIMIT_MILLIS = 1_000;

  private final HostPort address;
  private final RouteTable routes = new RouteTable();
  private final Server server;
  private final ServerConnector connector;

  /**
   * Creates a server that does not listen yet. {@code GET /metrics} is already registered.
   *
   * @param address the address to listen on; port 0 selects any free port
   * @param metrics the metrics that {@code /metrics} returns
   */
  public OperatorServer(HostPort address, Metrics metrics) {
    this.address = requireNonNull(address, "address");
    requireNonNull(metrics, "metrics");
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS, IDLE_TIMEOUT_MILLIS);
    threads.setReservedThreads(0);
    threads.setName("operators");
    // Not pooled: malformed requests can make Jetty mix up pooled buffers (docs/decisions/0205).
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
   * Registers a route.
   *
   * @param method the HTTP method
   * @param template the path, with path parameters in braces, such as {@code /jobs/{name}}
   * @param handler handles the requests
   * @throws IllegalArgumentException if the route is already registered
   */
  public void register(String method, String template, OperatorHandler handler) {
    routes.add(method, template, handler);
  }

  /** Registers a route with a synchronous handler. */
  public void registerSynchronous(
      String method, String template, OperatorHandler.Synchronous handler) {
    register(method, template, OperatorHandler.synchronous(handler));
  }

  /**
   * Starts listening.
   *
   * @return the port, or a failure that names the settings key and the address
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

  /** Returns the port that the server listens on. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns the number of open connections. */
  int openConnections() {
    return connector.getConnectedEndPoints().size();
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      LOG.warning(LogLine.of("operators-stop-failed").withError(e));
    }
  }
}
