package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.error.Failure;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.ProblemDetails;
import io.marigoldsail.protocol.Header;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the response to a caller's request. */
final class CallerResponseWriter implements ResponseSink {
  private final Response response;
  private final Callback callback;
  private final Runnable onEnded;
  private final Executor writeExecutor;

  /**
   * Creates a writer.
   *
   * @param response the HTTP response to write
   * @param callback completed after writing
   * @param onEnded run when the request has ended, before the response is written
   * @param writeExecutor runs the writes
   */
  CallerResponseWriter(
      Response response, Callback callback, Runnable onEnded, Executor writeExecutor) {
    this.response = response;
    this.callback = callback;
    this.onEnded = onEnded;
    this.writeExecutor = writeExecutor;
  }

  @Override
  public void succeeded(String requestId, CallerResponse callerResponse) {
    onEnded.run();
    writeExecutor.execute(() -> write(requestId, callerResponse));
  }

  private void write(String requestId, CallerResponse callerResponse) {
    response.setStatus(callerResponse.status());
    HttpFields.Mutable fields = response.getHeaders();
    for (Header header : callerResponse.headers()) {
      fields.add(header.getName(), header.getValue());
    }
    fields.put(CallerHeaders.REQUEST_ID, requestId);
    boolean mayHaveBody =
        callerResponse.status() != HttpStatus.NO_CONTENT_204
            && callerResponse.status() != HttpStatus.NOT_MODIFIED_304;
    if (mayHaveBody && !fields.contains(HttpHeader.CONTENT_LENGTH)) {
      fields.put(HttpHeader.CONTENT_LENGTH, callerResponse.body().size());
    }
    response.write(true, callerResponse.body().asReadOnlyByteBuffer(), callback);
  }

  @Override
  public void failed(String requestId, Failure failure) {
    onEnded.run();
    writeExecutor.execute(() -> write(response, callback, failure, requestId));
  }

  /** Writes a failure as problem details (RFC 9457); an empty request id is left out. */
  static void write(Response response, Callback callback, Failure failure, String requestId) {
    byte[] body =
        Json.bytes(
            requestId.isEmpty()
                ? ProblemDetails.of(failure)
                : ProblemDetails.of(failure, requestId));
    response.setStatus(failure.kind().httpStatus());
    HttpFields.Mutable fields = response.getHeaders();
    fields.put(HttpHeader.CONTENT_TYPE, ProblemDetails.MEDIA_TYPE);
    fields.put(HttpHeader.CONTENT_LENGTH, body.length);
    if (!requestId.isEmpty()) {
      fields.put(CallerHeaders.REQUEST_ID, requestId);
    }
    ProblemDetails.retryAfter(failure)
        .ifPresent(seconds -> fields.put(HttpHeader.RETRY_AFTER, seconds));
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}
