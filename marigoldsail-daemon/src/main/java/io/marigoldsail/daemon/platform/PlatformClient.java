package io.marigoldsail.daemon.platform;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.daemon.http.HttpThreadPools;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP client for the platform that distinguishes a lost response from a request that was not sent.
 *
 * <p>Safe for any thread. {@code get} and {@code post} block until the response, at most for the
 * given time; {@link #send} does not block. A connection whose response does not arrive in time is
 * closed, so that the next request opens a new one: the platform's middleboxes drop connections
 * silently.
 */
public final class PlatformClient implements AutoCloseable {
  /** The result of an exchange. */
  public sealed interface ExchangeResult
      permits ResponseReceived, NotSent, ResponseLost, ResponseTooLarge {}

  /** A complete response. */
  public record ResponseReceived(int status, byte[] body) implements ExchangeResult {
    /** Returns the body as JSON, or empty if it is not valid JSON. */
    public Optional<JsonNode> json() {
      Result<JsonNode> parsed = Json.parse("the response", body);
      return parsed.isOk() ? Optional.of(parsed.value()) : Optional.empty();
    }

    /** Returns the body as JSON, or empty if the status is not 200 or it is not valid JSON. */
    public Optional<JsonNode> okJson() {
      return status == HttpStatus.OK_200 ? json() : Optional.empty();
    }
  }

  /** No byte of the request left this process. */
  public record NotSent(String detail) implements ExchangeResult {}

  /** The request may have taken effect; its response did not arrive, or not completely. */
  public record ResponseLost(String detail) implements ExchangeResult {}

  /** The response was larger than allowed. */
  public record ResponseTooLarge(int maxBytes) implements ExchangeResult {}

  /**
   * The timeouts of an exchange with a large response. Over a low-bandwidth link such a response
   * takes long although it progresses, and another attempt would begin at the first byte; so the
   * timeout without progress is short, and that of the whole exchange long.
   *
   * @param totalMillis the longest time from the request to the end of the response
   * @param idleMillis the longest time without a byte sent or received
   */
  public record ExchangeTimeouts(long totalMillis, long idleMillis) {
    /** Checks the components. */
    public ExchangeTimeouts {
      checkArgument(totalMillis > 0, "totalMillis is not positive: %s", totalMillis);
      checkArgument(idleMillis > 0, "idleMillis is not positive: %s", idleMillis);
    }
  }

  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long ABORT_GRACE_MILLIS = 500;
  private static final int DEFAULT_MAX_CONNECTIONS = 16;
  private static final int MAX_THREADS = 12;
  private static final int MIN_THREADS = 2;
  private static final int THREAD_IDLE_MILLIS = 60_000;
  private static final int MAX_QUEUED_REQUESTS = 64;

  private final HttpClient client;

  private PlatformClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Returns a started client.
   *
   * @param name the start of its threads' names
   * @throws IllegalStateException if it cannot start
   */
  public static PlatformClient start(String name) {
    return start(name, DEFAULT_MAX_CONNECTIONS);
  }

  /**
   * Returns a started client with the given number of connections, for callers with many pending
   * requests.
   *
   * @param name the start of its threads' names
   * @param connections the maximum number of connections to one address
   * @throws IllegalStateException if it cannot start
   */
  public static PlatformClient start(String name, int connections) {
    QueuedThreadPool threads =
        HttpThreadPools.create(
            requireNonNull(name, "name"), MAX_THREADS, MIN_THREADS, THREAD_IDLE_MILLIS, true);
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    connector.setExecutor(threads);
    connector.setSslContextFactory(new NoTls());
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    // Responses complete futures only, so the selector's thread need not hand them to another one.
    transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
    HttpClient client = new HttpClient(transport);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setMaxConnectionsPerDestination(connections);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("platform client cannot start: " + e.getMessage(), e);
    }
    client.getContentDecoderFactories().clear();
    return new PlatformClient(client);
  }

  ExchangeResult get(String uri, int maxResponseBytes, long timeoutMillis) {
    return exchange(client.newRequest(uri), maxResponseBytes, timeoutMillis);
  }

  ExchangeResult post(
      String uri, String type, byte[] body, int maxResponseBytes, long timeoutMillis) {
    Request request =
        client.newRequest(uri).method(HttpMethod.POST).body(new BytesRequestContent(type, body));
    return exchange(request, maxResponseBytes, timeoutMillis);
  }

  /**
   * Sends a request without blocking. Dependents of the future that are not asynchronous must not
   * block either, since they run on the thread that reads all responses.
   *
   * @param method the HTTP method
   * @param uri the request URI
   * @param headers additional headers
   * @param type the media type of the body
   * @param body the request body; empty for none
   * @param maxResponseBytes the largest response accepted
   * @param timeoutMillis how long the complete exchange may take
   * @return a future that completes on a thread of the client, never exceptionally
   */
  public CompletableFuture<ExchangeResult> send(
      String method,
      String uri,
      Map<String, String> headers,
      String type,
      byte[] body,
      int maxResponseBytes,
      long timeoutMillis) {
    Request request = request(method, uri, headers, type, body);
    return sendAsync(request, maxResponseBytes, timeoutMillis);
  }

  /**
   * Sends a request for a response that may be large, without blocking.
   *
   * @param method the HTTP method
   * @param uri the request URI
   * @param maxResponseBytes the largest response accepted
   * @param timeouts when the exchange is given up
   * @return a future that completes on a thread of the client, never exceptionally
   */
  public CompletableFuture<ExchangeResult> send(
      String method, String uri, int maxResponseBytes, ExchangeTimeouts timeouts) {
    Request request = request(method, uri, Map.of(), "", new byte[0]);
    request.idleTimeout(timeouts.idleMillis(), TimeUnit.MILLISECONDS);
    return sendAsync(request, maxResponseBytes, timeouts.totalMillis());
  }

  private Request request(
      String method, String uri, Map<String, String> headers, String type, byte[] body) {
    Request request = client.newRequest(uri).method(method);
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body.length > 0) {
      request.body(new BytesRequestContent(type, body));
    }
    return request;
  }

  private static CompletableFuture<ExchangeResult> sendAsync(
      Request request, int maxResponseBytes, long timeoutMillis) {
    AtomicBoolean sendStarted = setTimeoutAndTrackSend(request, timeoutMillis);
    return new CompletableResponseListener(request, maxResponseBytes)
        .send()
        .handle(
            (response, error) -> {
              if (error == null) {
                return new ResponseReceived(response.getStatus(), response.getContent());
              }
              Throwable cause = error instanceof CompletionException ? error.getCause() : error;
              return failureResult(sendStarted.get(), cause, maxResponseBytes);
            });
  }

  private static ExchangeResult exchange(
      Request request, int maxResponseBytes, long timeoutMillis) {
    AtomicBoolean sendStarted = setTimeoutAndTrackSend(request, timeoutMillis);
    CompletableFuture<ContentResponse> sent =
        new CompletableResponseListener(request, maxResponseBytes).send();
    try {
      ContentResponse response =
          sent.get(timeoutMillis + ABORT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      return new ResponseReceived(response.getStatus(), response.getContent());
    } catch (ExecutionException e) {
      return failureResult(sendStarted.get(), e.getCause(), maxResponseBytes);
    } catch (TimeoutException e) {
      request.abort(e);
      return failureResult(sendStarted.get(), e, maxResponseBytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      request.abort(e);
      return failureResult(sendStarted.get(), e, maxResponseBytes);
    }
  }

  /** Sets the timeout; returns a flag that is set once a byte of the request may have been sent. */
  private static AtomicBoolean setTimeoutAndTrackSend(Request request, long timeoutMillis) {
    checkArgument(timeoutMillis > 0, "timeoutMillis is not positive: %s", timeoutMillis);
    // The begin event precedes the first byte. Without the flag, a connection that is refused or
    // times out would count as an unknown outcome, and callers would have to look it up.
    AtomicBoolean sendStarted = new AtomicBoolean();
    request.onRequestBegin(ignored -> sendStarted.set(true));
    request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    return sendStarted;
  }

  private static ExchangeResult failureResult(
      boolean sendStarted, Throwable cause, int maxResponseBytes) {
    if (!sendStarted) {
      return new NotSent(describe(cause));
    }
    // Jetty reports a response larger than the buffer with this exception, which has no other cause
    // here.
    if (cause instanceof IllegalArgumentException) {
      return new ResponseTooLarge(maxResponseBytes);
    }
    return new ResponseLost(describe(cause));
  }

  private static String describe(Throwable cause) {
    return cause.getClass().getSimpleName() + ": " + cause.getMessage();
  }

  /** Loads no trust store, since loading it is slow and the platform is called without TLS. */
  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {}

    @Override
    protected void doStop() {}
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("platform client cannot stop: " + e.getMessage(), e);
    }
  }
}
