package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.dispatch.ByteBudget;
import io.marigoldsail.protocol.Header;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A {@link Target} that is reached over HTTP with Jetty's client. */
public final class TargetClient implements Target {
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 3;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;

  /**
   * How long an unused connection is kept. Shorter than the usual idle timeouts of servers, so that
   * a request is rarely written to a connection that the target is closing. The outcome of such a
   * request is unknown.
   */
  private static final long IDLE_TIMEOUT_MILLIS = 10_000;

  private final LinkLoop loop;
  private final URI address;
  private final String probePath;
  private final ByteBudget budget;
  private final HttpClient client;
  private final WriteThread writeThread = new WriteThread("target-writes");

  /**
   * Creates a client that is not started.
   *
   * @param loop provides the time and retries responses that wait for memory
   * @param address the target's base address, such as {@code http://127.0.0.1:9001}
   * @param maxConnections the maximum number of connections to the target
   * @param probePath the path of the health probe: status 503 means that the target accepts no
   *     work, any other status that it does; if empty, the target accepts work while its port
   *     accepts connections
   * @param budget the bytes that long responses may hold in this process
   */
  public TargetClient(
      LinkLoop loop, URI address, int maxConnections, String probePath, ByteBudget budget) {
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    this.loop = requireNonNull(loop, "loop");
    this.address = requireNonNull(address, "address");
    this.probePath = requireNonNull(probePath, "probePath");
    this.budget = requireNonNull(budget, "budget");
    this.client = newClient(maxConnections);
  }

  private static HttpClient newClient(int maxConnections) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    threads.setName("target");
    threads.setDaemon(true);
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(threads);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(maxConnections);
    client.setMaxResponseHeadersSize(MAX_HEADER_BYTES);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    return client;
  }

  /**
   * Starts the client's threads.
   *
   * @throws IOException if the client cannot be started
   */
  public void start() throws IOException {
    try {
      client.start();
      client.getProtocolHandlers().clear();
      client.getContentDecoderFactories().clear();
    } catch (Exception e) {
      throw new IOException("cannot start the client for " + address, e);
    }
  }

  @Override
  public void send(TargetRequest request, Consumer<TargetOutcome> onEnded) {
    writeThread.execute(() -> write(request, onEnded));
  }

  private void write(TargetRequest request, Consumer<TargetOutcome> onEnded) {
    Request httpRequest;
    try {
      httpRequest = newRequest(request);
    } catch (IllegalArgumentException e) {
      // Without an outcome the slot of the request would never be released.
      onEnded.accept(new TargetOutcome.NotSent("request cannot be sent: " + e.getMessage()));
      return;
    }
    TargetExchange exchange =
        new TargetExchange(loop, budget, HttpMethod.HEAD.is(request.method()), onEnded);
    httpRequest.onRequestBegin(begun -> exchange.requestBegun());
    httpRequest.send(exchange);
  }

  private Request newRequest(TargetRequest request) {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(request.deadline() - loop.now());
    Request httpRequest =
        client
            .newRequest(address.resolve(request.path()))
            .method(request.method())
            .idleTimeout(Math.max(1, remainingMillis), TimeUnit.MILLISECONDS)
            .timeout(Math.max(1, remainingMillis), TimeUnit.MILLISECONDS)
            .headers(fields -> copyHeaders(request, fields));
    if (!request.body().isEmpty()) {
      ByteBuffer[] parts = request.body().asReadOnlyByteBufferList().toArray(new ByteBuffer[0]);
      httpRequest.body(new ByteBufferRequestContent(null, parts));
    }
    return httpRequest;
  }

  private static void copyHeaders(TargetRequest request, HttpFields.Mutable fields) {
    // Only headers of the caller are forwarded; Jetty would add this one.
    fields.remove(HttpHeader.ACCEPT_ENCODING);
    for (Header header : request.headers()) {
      fields.add(header.getName(), header.getValue());
    }
  }

  @Override
  public void probe(Consumer<TargetHealth> onResult) {
    if (probePath.isEmpty()) {
      loop.probe(
          new InetSocketAddress(address.getHost(), address.getPort()),
          accepted -> onResult.accept(accepted ? TargetHealth.SERVING : TargetHealth.LEAVING));
      return;
    }
    client
        .newRequest(address.resolve(probePath))
        .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(result -> onResult.accept(health(result)));
  }

  private static TargetHealth health(Result result) {
    if (result.isSucceeded()) {
      return result.getResponse().getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
          ? TargetHealth.LEAVING
          : TargetHealth.SERVING;
    }
    // An overloaded target may not respond in time; only a refused connection is conclusive.
    return result.getFailure() instanceof ConnectException
        ? TargetHealth.LEAVING
        : TargetHealth.UNKNOWN;
  }

  @Override
  public void close() {
    writeThread.close();
    try {
      client.stop();
    } catch (Exception e) {
      System.getLogger(TargetClient.class.getName())
          .log(System.Logger.Level.WARNING, "event=target-client-stop reason=\"{0}\"", e);
    }
  }
}
