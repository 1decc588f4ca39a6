package io.marigoldsail.cli.load;

import io.marigoldsail.error.Failure;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.ProblemDetails;
import java.net.ConnectException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/** Sends the requests of a load plan over HTTP as a caller would. Thread-safe. */
final class JettyLoadSender implements LoadSender {
  private static final int STATUS_OK = 200;
  private static final int STATUS_OK_LIMIT = 300;
  private static final long RESPONSE_GRACE_MILLIS = 5_000;
  private static final int EXTRA_RESPONSE_BYTES = 64 * 1024;

  private final HttpClient http;
  private final LoadPlan plan;
  private final boolean verifyEcho;
  private final String runId;
  private final byte[] body;

  /**
   * Creates a sender.
   *
   * @param verifyEcho whether the response to a POST must equal its body
   * @param runId prefix of idempotency keys, different for each run
   */
  JettyLoadSender(HttpClient http, LoadPlan plan, boolean verifyEcho, String runId) {
    this.http = http;
    this.plan = plan;
    this.verifyEcho = verifyEcho;
    this.runId = runId;
    this.body = new byte[plan.bodyBytes()];
    for (int i = 0; i < body.length; i++) {
      body[i] = (byte) ('a' + i % 26);
    }
  }

  @Override
  public CompletableFuture<LoadResult> send(LoadRequest planned) {
    CompletableFuture<LoadResult> response = new CompletableFuture<>();
    Request request =
        http.newRequest(planned.url())
            .method(planned.idempotent() ? "GET" : "POST")
            .timeout(plan.deadlineMillis() + RESPONSE_GRACE_MILLIS, TimeUnit.MILLISECONDS)
            .headers(
                headers -> {
                  headers.put("Marigoldsail-Caller", planned.caller());
                  headers.put("Marigoldsail-Deadline-Millis", Long.toString(plan.deadlineMillis()));
                  if (!planned.key().isEmpty()) {
                    headers.put("Marigoldsail-Key", planned.key());
                  }
                });
    if (!planned.idempotent()) {
      request.body(new BytesRequestContent("application/octet-stream", body));
      request.headers(h -> h.put("Idempotency-Key", runId + "-" + planned.sequence()));
    }
    request.send(
        new BufferingResponseListener(plan.bodyBytes() + EXTRA_RESPONSE_BYTES) {
          @Override
          public void onComplete(Result result) {
            response.complete(classify(planned, result, getContent()));
          }
        });
    return response;
  }

  private LoadResult classify(LoadRequest planned, Result result, byte[] content) {
    if (result.isFailed()) {
      return failed(result.getFailure());
    }
    int status = result.getResponse().getStatus();
    if (status >= STATUS_OK && status < STATUS_OK_LIMIT) {
      boolean mismatch = verifyEcho && !planned.idempotent() && !Arrays.equals(content, body);
      return mismatch ? LoadResult.WRONG_BODY : LoadResult.SERVED;
    }
    String type = String.valueOf(result.getResponse().getHeaders().get(HttpHeader.CONTENT_TYPE));
    Optional<Failure> problem =
        type.startsWith(ProblemDetails.MEDIA_TYPE) ? problem(content) : Optional.empty();
    return LoadResult.failed(
        problem.map(failure -> failure.kind().code()).orElse("http-" + status));
  }

  private static Optional<Failure> problem(byte[] content) {
    io.marigoldsail.error.Result<com.fasterxml.jackson.databind.JsonNode> parsed =
        Json.parse("answer", content == null ? new byte[0] : content);
    return parsed.isOk() ? ProblemDetails.read(parsed.value()) : Optional.empty();
  }

  private static LoadResult failed(Throwable failure) {
    if (failure instanceof TimeoutException) {
      return LoadResult.NO_RESPONSE;
    }
    return LoadResult.failed(
        failure instanceof ConnectException ? "connection-refused" : "connection-failed");
  }
}
