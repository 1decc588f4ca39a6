package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.http.BodyDrainer;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.time.MonotonicClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of an entry for its callers. Serves {@code /SERVICE/...} with any method, and the
 * health endpoints for the platform's load balancer. Safe for any thread.
 */
public final class CallerServer implements AutoCloseable {
  /** The liveness endpoint: 200 as long as the process serves HTTP. */
  public static final String LIVE_PATH = "/health/live";

  /** The readiness endpoint: 200 while the load balancer may route callers to this entry. */
  public static final String READY_PATH = "/health/ready";

  private static final int MAX_THREADS = 32;
  private static final int MIN_THREADS = 8;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  /** Connections that wait to be accepted; the kernel resets or drops more. */
  private static final int ACCEPT_QUEUE_LENGTH = 1_024;

  private static final long WRITE_DRAIN_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_RESPONSE_HEADER_BYTES = 48 * 1024;

  /**
   * The initial buffer for the head of a response. Buffers are not pooled, so the buffer is cleared
   * for every response, on the loop: with the size of the longest head, this took a third of the
   * loop's time.
   */
  private static final int RESPONSE_HEADER_BUFFER_BYTES = 2 * 1024;

  /** The buffer for one read from a caller; longer heads and bodies take several reads. */
  private static final int INPUT_BUFFER_BYTES = 4 * 1024;

  private final MonotonicClock clock;
  private final InetSocketAddress address;
  private final EntryDispatcher dispatcher;
  private final BooleanSupplier ready;
  private final RequestHeadReader reader;
  private final ByteBudget bodyBudget;
  private final Server server;
  private final ServerConnector connector;
  private final OpenRequests openRequests = new OpenRequests();
  private final WriteThread writeThread = new WriteThread("caller-writes");

  /**
   * Creates a server that does not listen yet.
   *
   * @param clock the process's monotonic clock
   * @param address the address to listen on; port 0 selects any free port
   * @param limits the limits of connections and memory
   * @param deadlines the configured services and their default deadlines
   * @param dispatcher handles the requests
   * @param ready further condition, besides the dispatcher's, for the load balancer to route
   *     callers to this entry
   */
  public CallerServer(
      MonotonicClock clock,
      InetSocketAddress address,
      CallerLimits limits,
      ServiceDeadlines deadlines,
      EntryDispatcher dispatcher,
      BooleanSupplier ready) {
    this.clock = requireNonNull(clock, "clock");
    this.address = requireNonNull(address, "address");
    this.dispatcher = requireNonNull(dispatcher, "dispatcher");
    this.ready = requireNonNull(ready, "ready");
    this.reader = new RequestHeadReader(deadlines);
    this.bodyBudget = new ByteBudget(limits.bodyBudgetBytes());
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("callers");
    // After malformed HTTP, Jetty 12.1.13 gives one pooled buffer to two connections: a valid
    // request on another connection is then answered with 400, or even read as another caller's.
    // Buffers that are not pooled are not shared; on the heap they are cheap to discard.
    this.server = new Server(threads, null, new ByteBufferPool.NonPooling());
    this.connector = newConnector();
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(limits.maxConnections(), connector));
    server.setHandler(new CallerHandler());
    server.setErrorHandler(CallerServer::handleJettyError);
  }

  private ServerConnector newConnector() {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(CallerLimits.MAX_HEADER_BYTES);
    http.setInputBufferSize(INPUT_BUFFER_BYTES);
    http.setResponseHeaderSize(RESPONSE_HEADER_BUFFER_BYTES);
    http.setMaxResponseHeaderSize(MAX_RESPONSE_HEADER_BYTES);
    http.setUseInputDirectByteBuffers(false);
    http.setUseOutputDirectByteBuffers(false);
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    ServerConnector newConnector =
        new ServerConnector(server, 1, 2, new HttpConnectionFactory(http));
    newConnector.setHost(address.getHostString());
    newConnector.setPort(address.getPort());
    newConnector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    newConnector.setAcceptQueueSize(ACCEPT_QUEUE_LENGTH);
    return newConnector;
  }

  /**
   * Starts to listen.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    try {
      server.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot listen on " + address, e);
    }
  }

  /** Returns the local port. */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Stops listening and closes all connections. To be called after the dispatcher has stopped.
   *
   * <p>Waits up to 10 s for responses that are being written.
   */
  @Override
  public void close() {
    try {
      connector.shutdown();
      openRequests.awaitNone(WRITE_DRAIN_TIMEOUT_MILLIS);
      server.stop();
      writeThread.close();
    } catch (Exception e) {
      System.getLogger(CallerServer.class.getName())
          .log(System.Logger.Level.WARNING, "event=caller-server-stop reason=\"{0}\"", e);
    }
  }

  private static boolean handleJettyError(Request request, Response response, Callback callback) {
    int status = response.getStatus();
    boolean serverFault =
        status >= HttpStatus.INTERNAL_SERVER_ERROR_500
            && status != HttpStatus.HTTP_VERSION_NOT_SUPPORTED_505;
    ErrorKind kind = serverFault ? ErrorKind.INTERNAL : ErrorKind.BAD_REQUEST;
    Failure failure = Failure.of(kind, HttpStatus.getMessage(status));
    CallerResponseWriter.write(response, callback, failure, "");
    return true;
  }

  /** Handles requests of callers and health checks. */
  private final class CallerHandler extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      String path = request.getHttpURI().getPath();
      if (LIVE_PATH.equals(path)) {
        writeHealth(response, callback, true);
        return true;
      }
      if (READY_PATH.equals(path)) {
        writeHealth(response, callback, dispatcher.isReady() && ready.getAsBoolean());
        return true;
      }
      Result<CallerRequest> head = reader.read(request, clock.nanos());
      if (head instanceof Result.Failed<CallerRequest> failed) {
        CallerResponseWriter.write(response, callback, failed.failure(), "");
        return true;
      }
      if (!dispatcher.isReady()) {
        // Makes the load balancer send the next request of this connection to another entry.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
      }
      readBody(request, response, openRequests.track(callback), head.value());
      return true;
    }
  }

  private void readBody(Request request, Response response, Callback callback, CallerRequest head) {
    BodyReader[] holder = new BodyReader[1];
    holder[0] =
        new BodyReader(
            request,
            bodyBudget,
            body -> {
              if (body instanceof Result.Failed<ByteString> failed) {
                Callback afterBodyRead = BodyDrainer.drainThenComplete(request, callback);
                CallerResponseWriter.write(response, afterBodyRead, failed.failure(), "");
                return;
              }
              long reserved = holder[0].reservedBytes();
              CallerResponseWriter writer =
                  new CallerResponseWriter(
                      response, callback, () -> bodyBudget.release(reserved), writeThread);
              dispatcher.submit(head.withBody(body.value()), writer);
            });
    holder[0].run();
  }

  private static void writeHealth(Response response, Callback callback, boolean healthy) {
    response.setStatus(healthy ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
    byte[] text = (healthy ? "ok\n" : "stopping\n").getBytes(StandardCharsets.UTF_8);
    response.write(true, ByteBuffer.wrap(text), callback);
  }
}
