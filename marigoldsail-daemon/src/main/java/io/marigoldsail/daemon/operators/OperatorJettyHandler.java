package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.http.BoundedBodyReader;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import io.marigoldsail.json.ProblemDetails;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Reads a request, finds its route and writes the answer or the problem details. */
final class OperatorJettyHandler extends Handler.Abstract.NonBlocking {
  private static final EventLog LOG = EventLog.of(OperatorJettyHandler.class);

  private final RouteTable routes;

  OperatorJettyHandler(RouteTable routes) {
    this.routes = requireNonNull(routes, "routes");
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    // The raw path: Jetty's own decoding would make a percent sign in a name ambiguous.
    Result<RouteTable.Match> match = routes.find(request.getMethod(), path(request));
    if (match instanceof Result.Failed<RouteTable.Match> failed) {
      writeProblem(response, callback, failed.failure());
      return true;
    }
    BoundedBodyReader.read(request, OperatorServer.MAX_BODY_BYTES)
        .thenAccept(
            body -> {
              if (body instanceof Result.Failed<byte[]> failed) {
                writeProblem(response, callback, failed.failure());
              } else {
                serve(match.value(), request, body.value(), response, callback);
              }
            });
    return true;
  }

  private static void serve(
      RouteTable.Match match, Request request, byte[] body, Response response, Callback callback) {
    CompletableFuture<Result<OperatorResponse>> answer;
    try {
      OperatorRequest operatorRequest =
          new OperatorRequest(match.parameters(), query(request), body);
      answer = match.handler().handle(operatorRequest);
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (result, error) -> {
          if (error != null) {
            LOG.error(
                LogLine.of("operator-request-failed").with("path", path(request)).withError(error));
            writeProblem(
                response, callback, Failure.of(ErrorKind.INTERNAL, "see the process's log"));
          } else if (result instanceof Result.Failed<OperatorResponse> failed) {
            writeProblem(response, callback, failed.failure());
          } else {
            write(response, callback, result.value());
          }
        });
  }

  private static String path(Request request) {
    return request.getHttpURI().getPath();
  }

  private static Map<String, String> query(Request request) {
    Map<String, String> parameters = new HashMap<>();
    for (Fields.Field field : Request.extractQueryParameters(request)) {
      parameters.put(field.getName(), field.getValue());
    }
    return parameters;
  }

  /** Answers what Jetty refuses by itself, such as a broken header, as problem details too. */
  static boolean writeJettyError(Request request, Response response, Callback callback) {
    Object message = request.getAttribute(ErrorHandler.ERROR_MESSAGE);
    boolean ours = response.getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    ErrorKind kind = ours ? ErrorKind.INTERNAL : ErrorKind.BAD_REQUEST;
    String detail = ours ? "see the process's log" : String.valueOf(message);
    writeProblem(response, callback, Failure.of(kind, detail));
    return true;
  }

  private static void write(Response response, Callback callback, OperatorResponse answer) {
    response.setStatus(answer.status());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.mediaType());
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.body().length);
    response.write(true, ByteBuffer.wrap(answer.body()), callback);
  }

  private static void writeProblem(Response response, Callback callback, Failure failure) {
    ProblemDetails.retryAfter(failure)
        .ifPresent(seconds -> response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds));
    byte[] body = Json.bytes(ProblemDetails.of(failure));
    write(
        response,
        callback,
        new OperatorResponse(failure.kind().httpStatus(), ProblemDetails.MEDIA_TYPE, body));
  }
}
