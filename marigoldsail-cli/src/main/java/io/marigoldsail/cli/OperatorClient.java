package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.ProblemDetails;
import io.marigoldsail.settings.HostPort;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.nio.channels.UnresolvedAddressException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Sends requests to the operators' addresses of entries, one after the other until one responds.
 *
 * <p>Fails over to the next entry only where a repeated request is safe: nothing was sent, the
 * entry reported "not run" because it is shutting down, or the request only reads. Not thread-safe.
 */
final class OperatorClient implements AutoCloseable {
  private static final int STATUS_OK_LIMIT = 300;
  private static final int CLIENT_THREADS = 6;

  private final HttpClient http;
  private final List<HostPort> entries;
  private final long timeoutMillis;

  OperatorClient(List<HostPort> entries, long timeoutMillis) {
    this.entries = List.copyOf(entries);
    this.timeoutMillis = timeoutMillis;
    this.http = new HttpClient();
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 2);
    threads.setDaemon(true);
    threads.setReservedThreads(0);
    http.setExecutor(threads);
    http.setConnectTimeout(Math.min(timeoutMillis, 2_000));
    http.setFollowRedirects(false);
    try {
      http.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the HTTP client", e);
    }
  }

  /** Returns the response of the first entry that responds. */
  Result<JsonNode> get(String pathAndQuery) {
    return sendToAny("GET", pathAndQuery, Optional.empty());
  }

  /**
   * Returns the response, or empty if the request failed. For polling: an entry that fails in the
   * meantime, or another entry whose state is older, must not abort a wait for an accepted change.
   */
  Optional<JsonNode> tryGet(String pathAndQuery) {
    return get(pathAndQuery) instanceof Result.Ok<JsonNode> ok
        ? Optional.of(ok.value())
        : Optional.empty();
  }

  Result<JsonNode> post(String pathAndQuery, byte[] body) {
    return sendToAny("POST", pathAndQuery, Optional.of(body));
  }

  Result<JsonNode> delete(String pathAndQuery) {
    return sendToAny("DELETE", pathAndQuery, Optional.empty());
  }

  private Result<JsonNode> sendToAny(String method, String pathAndQuery, Optional<byte[]> body) {
    Result<JsonNode> last = Result.failed(ErrorKind.TARGET_UNREACHABLE, "no entry was given");
    for (HostPort entry : entries) {
      last = sendTo(entry, method, pathAndQuery, body);
      if (!(last instanceof Result.Failed<JsonNode> failed)) {
        return last;
      }
      ErrorKind kind = failed.failure().kind();
      boolean notRun = kind == ErrorKind.TARGET_UNREACHABLE || kind == ErrorKind.SHUTTING_DOWN;
      boolean outcomeUnknown = kind == ErrorKind.OUTCOME_UNKNOWN && method.equals("GET");
      if (!notRun && !outcomeUnknown) {
        return last;
      }
    }
    return last;
  }

  /** Returns the response of one process. */
  Result<JsonNode> sendTo(
      HostPort process, String method, String pathAndQuery, Optional<byte[]> body) {
    Request request =
        http.newRequest("http://" + process + pathAndQuery)
            .method(method)
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    body.ifPresent(bytes -> request.body(new BytesRequestContent("application/json", bytes)));
    try {
      return read(process, request.send());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Result.failed(ErrorKind.OUTCOME_UNKNOWN, "interrupted");
    } catch (TimeoutException e) {
      return Result.failed(
          ErrorKind.OUTCOME_UNKNOWN, process + ": no answer within " + timeoutMillis + " ms");
    } catch (ExecutionException e) {
      return Result.failed(failure(process, e.getCause()));
    }
  }

  private static Failure failure(HostPort process, Throwable cause) {
    boolean nothingSent =
        cause instanceof ConnectException
            || cause instanceof UnknownHostException
            || cause instanceof UnresolvedAddressException
            || cause instanceof java.net.SocketTimeoutException;
    return nothingSent
        ? Failure.of(ErrorKind.TARGET_UNREACHABLE, process + ": " + cause.getMessage())
        : Failure.of(ErrorKind.OUTCOME_UNKNOWN, process + ": " + cause);
  }

  private static Result<JsonNode> read(HostPort process, ContentResponse response) {
    Result<JsonNode> body = Json.parse(process.toString(), response.getContent());
    if (response.getStatus() < STATUS_OK_LIMIT) {
      return body;
    }
    if (body instanceof Result.Ok<JsonNode> ok) {
      Optional<Failure> failure = ProblemDetails.read(ok.value());
      if (failure.isPresent()) {
        return Result.failed(failure.get());
      }
    }
    return Result.failed(
        ErrorKind.INTERNAL, process + ": answered " + response.getStatus() + " without a problem");
  }

  @Override
  public void close() {
    try {
      http.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the HTTP client", e);
    }
  }
}
