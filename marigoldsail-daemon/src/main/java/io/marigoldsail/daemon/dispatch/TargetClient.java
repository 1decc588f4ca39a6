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

/** A {@link TargetCommand} reached over HTTP by Jetty's client. */
public final class TargetClient implements Target {
  private static final int MAX_THREADS = 8;
  private static final int MIN_THREADS = 3;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long PROBE_TIMEOUT_MILLIS = 2_000;

  /**
   * How long an unused connection is kept. Shorter than the idle timeouts that servers usually
   * have, so that a request is rarely written to a connection that its target is just closing; such
   * a request may have run, for all that can be known here.
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
   * @param loop for time and for answers that wait for memory
   * @param address the target's base address, such as {@code http://127.0.0.1:9001}
   * @param maxConnections how many connections the target takes
   * @param probePath the path that tells whether the target takes work: a status of 503 says no,
   *     any other answer yes; empty where it is enough that somebody listens at the address
   * @param budget what long answers may hold in this process
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
   * @throws IOException if it cannot be started
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
  public void send(TargetRequest request, Consumer<TargetOutcome> ended) {
    writeThread.execute(() -> write(request, ended));
  }

  private void write(TargetRequest request, Consumer<TargetOutcome> ended) {
    Request sent;
    try {
      sent = newRequest(request);
    } catch (IllegalArgumentException e) {
      // Nobody else would ever give its slot back.
      ended.accept(new TargetOutcome.NotSent("cannot be sent: " + e.getMessage()));
      return;
    }
    TargetExchange exchange =
        new TargetExchange(loop, budget, HttpMethod.HEAD.is(request.method()), ended);
    sent.onRequestBegin(begun -> exchange.requestBegun());
    sent.send(exchange);
  }

  private Request newRequest(TargetRequest request) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadline() - loop.now());
    Request sent =
        client
            .newRequest(address.resolve(request.path()))
            .method(request.method())
            .idleTimeout(Math.max(1, leftMillis), TimeUnit.MILLISECONDS)
            .timeout(Math.max(1, leftMillis), TimeUnit.MILLISECONDS)
            .headers(fields -> copyHeaders(request, fields));
    if (!request.body().isEmpty()) {
      ByteBuffer[] parts = request.body().asReadOnlyByteBufferList().toArray(new ByteBuffer[0]);
      sent.body(new ByteBufferRequestContent(null, parts));
    }
    return sent;
  }

  private static void copyHeaders(TargetRequest request, HttpFields.Mutable fields) {
    // What Jetty would add by itself is not the caller's; only the caller's travels on.
    fields.remove(HttpHeader.ACCEPT_ENCODING);
    for (Header header : request.headers()) {
      fields.add(header.getName(), header.getValue());
    }
  }

  @Override
  public void probe(Consumer<TargetHealth> heard) {
    if (probePath.isEmpty()) {
      loop.probe(
          new InetSocketAddress(address.getHost(), address.getPort()),
          accepted -> heard.accept(accepted ? TargetHealth.SERVING : TargetHealth.LEAVING));
      return;
    }
    client
        .newRequest(address.resolve(probePath))
        .timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(result -> heard.accept(health(result)));
  }

  private static TargetHealth health(Result result) {
    if (result.isSucceeded()) {
      return result.getResponse().getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
          ? TargetHealth.LEAVING
          : TargetHealth.SERVING;
    }
    // A full target may be too busy to answer; only that nobody listens is a clear no.
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
