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
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Sends one request at a time to the platform and tells a lost answer from one never asked for.
 *
 * <p>Safe for any thread; blocks the calling one until the answer, at most the given time. A
 * connection whose answer does not come in time is closed, so that the next request opens a new
 * one: the platform's middle boxes forget connections silently.
 */
public final class PlatformClient implements AutoCloseable {
  /** How an exchange ended. */
  public sealed interface ExchangeResult
      permits ResponseReceived, NotSent, ResponseLost, ResponseTooLarge {}

  /** A whole answer. */
  public record ResponseReceived(int status, byte[] body) implements ExchangeResult {
    /** Returns the body as JSON, or empty if it is none. */
    public Optional<JsonNode> json() {
      Result<JsonNode> parsed = Json.parse("the answer", body);
      return parsed.isOk() ? Optional.of(parsed.value()) : Optional.empty();
    }

    /** Returns the body of a success as JSON, or empty if it is none. */
    public Optional<JsonNode> okJson() {
      return status == HttpStatus.OK_200 ? json() : Optional.empty();
    }
  }

  /** No byte of the request left this process. */
  public record NotSent(String detail) implements ExchangeResult {}

  /** The request may have taken effect; its answer did not come, or not whole. */
  public record ResponseLost(String detail) implements ExchangeResult {}

  /** An answer came and was longer than allowed. */
  public record ResponseTooLarge(int maxBytes) implements ExchangeResult {}

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
   * Returns a started client with more connections, for callers that let many requests wait.
   *
   * @param name the start of its threads' names
   * @param connections the most connections to one address
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
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
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

  ExchangeResult get(String uri, int maxAnswerBytes, long timeoutMillis) {
    return exchange(client.newRequest(uri), maxAnswerBytes, timeoutMillis);
  }

  ExchangeResult post(
      String uri, String type, byte[] body, int maxAnswerBytes, long timeoutMillis) {
    Request request =
        client.newRequest(uri).method(HttpMethod.POST).body(new BytesRequestContent(type, body));
    return exchange(request, maxAnswerBytes, timeoutMillis);
  }

  /**
   * Sends a request without blocking.
   *
   * @param method the HTTP method
   * @param uri where to
   * @param headers sent besides the usual ones
   * @param type the media type of the body
   * @param body what is sent; empty for none
   * @param maxAnswerBytes the longest answer taken
   * @param timeoutMillis how long the whole exchange may take
   * @return completes on a thread of the client's, never exceptionally
   */
  public CompletableFuture<ExchangeResult> send(
      String method,
      String uri,
      Map<String, String> headers,
      String type,
      byte[] body,
      int maxAnswerBytes,
      long timeoutMillis) {
    Request request = client.newRequest(uri).method(method);
    headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
    if (body.length > 0) {
      request.body(new BytesRequestContent(type, body));
    }
    AtomicBoolean begun = setTimeoutAndTrackSend(request, timeoutMillis);
    return new CompletableResponseListener(request, maxAnswerBytes)
        .send()
        .handle(
            (response, error) -> {
              if (error == null) {
                return new ResponseReceived(response.getStatus(), response.getContent());
              }
              Throwable cause = error instanceof CompletionException ? error.getCause() : error;
              return failureResult(begun.get(), cause, maxAnswerBytes);
            });
  }

  private static ExchangeResult exchange(Request request, int maxAnswerBytes, long timeoutMillis) {
    AtomicBoolean begun = setTimeoutAndTrackSend(request, timeoutMillis);
    CompletableFuture<ContentResponse> sent =
        new CompletableResponseListener(request, maxAnswerBytes).send();
    try {
      ContentResponse response =
          sent.get(timeoutMillis + ABORT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      return new ResponseReceived(response.getStatus(), response.getContent());
    } catch (ExecutionException e) {
      return failureResult(begun.get(), e.getCause(), maxAnswerBytes);
    } catch (TimeoutException e) {
      request.abort(e);
      return failureResult(begun.get(), e, maxAnswerBytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      request.abort(e);
      return failureResult(begun.get(), e, maxAnswerBytes);
    }
  }

  /** Bounds the request's time; returns what tells whether a byte of it may have left. */
  private static AtomicBoolean setTimeoutAndTrackSend(Request request, long timeoutMillis) {
    checkArgument(timeoutMillis > 0, "timeoutMillis is not positive: %s", timeoutMillis);
    // Begin is called before the first byte is written. Without it a refused or timed out
    // connection would count as an unknown outcome, and callers would have to look it up.
    AtomicBoolean begun = new AtomicBoolean();
    request.onRequestBegin(begins -> begun.set(true));
    request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    return begun;
  }

  private static ExchangeResult failureResult(boolean begun, Throwable cause, int maxAnswerBytes) {
    if (!begun) {
      return new NotSent(describe(cause));
    }
    // Jetty tells of an answer beyond the buffer with this exception and no other here.
    if (cause instanceof IllegalArgumentException) {
      return new ResponseTooLarge(maxAnswerBytes);
    }
    return new ResponseLost(describe(cause));
  }

  private static String describe(Throwable cause) {
    return cause.getClass().getSimpleName() + ": " + cause.getMessage();
  }

  /** Reads no trust store: the platform is called without TLS, and the store takes long to read. */
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
