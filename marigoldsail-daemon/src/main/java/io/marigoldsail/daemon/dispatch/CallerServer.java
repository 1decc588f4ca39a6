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
 * The HTTP server of an entry for its callers: {@code /SERVICE/...} with any method, and the health
 * endpoints of the platform's balancer. Safe for any thread.
 */
public final class CallerServer implements AutoCloseable {
  /** The health endpoint that is good as long as the process serves at all. */
  public static final String LIVE_PATH = "/health/live";

  /** The health endpoint that tells whether the balancer may send callers here. */
  public static final String READY_PATH = "/health/ready";

  private static final int MAX_THREADS = 32;
  private static final int MIN_THREADS = 8;
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  /** Connections that wait to be accepted; beyond it the kernel resets or drops them. */
  private static final int ACCEPT_QUEUE_LENGTH = 1_024;

  private static final long WRITE_DRAIN_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_RESPONSE_HEADER_BYTES = 48 * 1024;

  /**
   * What is allotted for an answer's head at first. Buffers are not pooled, so that it is cleared
   * for each answer, on the loop: with room for the longest head that was a third of its time.
   */
  private static final int RESPONSE_HEADER_BUFFER_BYTES = 2 * 1024;

  /** What is allotted for reading from a caller at a time; longer heads and bodies take several. */
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
   * @param address where to listen; port 0 takes any
   * @param limits the bounds
   * @param deadlines which services there are, and how long their requests may take
   * @param dispatcher takes the requests
   * @param ready whether the balancer may send callers here, besides the dispatcher's own view
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
    // Jetty 12.1.13 hands one pooled buffer to two connections after it was sent what is no HTTP: a
    // good request beside it is then answered 400, or worse read as another's. Buffers that are not
    // pooled cannot be mixed up; they are on the heap, where giving them up costs least.
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
    ServerConnector made = new ServerConnector(server, 1, 2, new HttpConnectionFactory(http));
    made.setHost(address.getHostString());
    made.setPort(address.getPort());
    made.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    made.setAcceptQueueSize(ACCEPT_QUEUE_LENGTH);
    return made;
  }

  /**
   * Begins to listen.
   *
   * @throws IOException if the address cannot be had
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

  /** Returns the port that is listened on. */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Stops listening and ends all connections; the dispatcher is stopped first.
   *
   * <p>Waits a bounded time until callers have taken the answers that are being written.
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
    boolean ownFault =
        status >= HttpStatus.INTERNAL_SERVER_ERROR_500
            && status != HttpStatus.HTTP_VERSION_NOT_SUPPORTED_505;
    ErrorKind kind = ownFault ? ErrorKind.INTERNAL : ErrorKind.BAD_REQUEST;
    Failure failure = Failure.of(kind, HttpStatus.getMessage(status));
    CallerResponseWriter.write(response, callback, failure, "");
    return true;
  }

  /** Serves callers and health. */
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
        // The balancer is to take this connection's next request elsewhere.
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
                Callback afterRest = BodyDrainer.drainThenComplete(request, callback);
                CallerResponseWriter.write(response, afterRest, failed.failure(), "");
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

  private static void writeHealth(Response response, Callback callback, boolean good) {
    response.setStatus(good ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain");
    byte[] text = (good ? "ok\n" : "stopping\n").getBytes(StandardCharsets.UTF_8);
    response.write(true, ByteBuffer.wrap(text), callback);
  }
}
