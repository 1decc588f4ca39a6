package io.marigoldsail.daemon.operators;

import static java.util.Objects.requireNonNull;

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
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
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
    String path = Request.getPathInContext(request);
    Result<RouteTable.Match> match = routes.find(request.getMethod(), path);
    if (match instanceof Result.Failed<RouteTable.Match> failed) {
      writeProblem(response, callback, failed.failure());
      return true;
    }
    if (request.getLength() > OperatorServer.LARGEST_BODY) {
      writeProblem(response, callback, tooLarge());
      return true;
    }
    Content.Source.asByteArrayAsync(request, OperatorServer.LARGEST_BODY)
        .whenComplete(
            (body, error) -> {
              if (error == null) {
                serve(match.value(), request, body, response, callback);
              } else {
                writeProblem(response, callback, bodyFailure(error));
              }
            });
    return true;
  }

  private static void serve(
      RouteTable.Match match, Request request, byte[] body, Response response, Callback callback) {
    CompletableFuture<Result<OperatorAnswer>> answer;
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
          } else if (result instanceof Result.Failed<OperatorAnswer> failed) {
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

  /** Jetty tells a body past the limit by an illegal state, and a cut-off one by an I/O error. */
  private static Failure bodyFailure(Throwable error) {
    if (error instanceof IllegalStateException) {
      return tooLarge();
    }
    return Failure.of(ErrorKind.BAD_REQUEST, "the body could not be read: " + error.getMessage());
  }

  private static Failure tooLarge() {
    return Failure.of(
        ErrorKind.BODY_TOO_LARGE, "the limit is " + OperatorServer.LARGEST_BODY + " bytes");
  }

  private static void write(Response response, Callback callback, OperatorAnswer answer) {
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
        new OperatorAnswer(failure.kind().httpStatus(), ProblemDetails.MEDIA_TYPE, body));
  }
}
