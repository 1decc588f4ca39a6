package io.marigoldsail.daemon.dispatch;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.protocol.Header;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/** Validates the head of a caller's request and converts it to a {@link CallerRequest}. */
final class RequestHeadReader {
  private static final ImmutableSet<String> IDEMPOTENT_METHODS =
      ImmutableSet.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

  private static final int MAX_PATH_LENGTH = 8 * 1024;

  private final ServiceDeadlines deadlines;

  RequestHeadReader(ServiceDeadlines deadlines) {
    this.deadlines = deadlines;
  }

  /** Returns the request without its body, or a failure that names the invalid part of the head. */
  Result<CallerRequest> read(Request request, long now) {
    String path = request.getHttpURI().getPathQuery();
    if (path == null || !path.startsWith("/") || path.length() > MAX_PATH_LENGTH) {
      return Result.failed(
          ErrorKind.BAD_REQUEST,
          "the path is missing, does not begin with '/', or is longer than "
              + MAX_PATH_LENGTH
              + " characters");
    }
    try {
      new URI("http://target" + path);
    } catch (URISyntaxException e) {
      return Result.failed(ErrorKind.BAD_REQUEST, "the path is not a valid URI: " + e.getReason());
    }
    String service = serviceName(path);
    OptionalLong defaultMillis = deadlines.defaultDeadlineMillis(service);
    if (defaultMillis.isEmpty()) {
      return Result.failed(ErrorKind.NOT_FOUND, "no service '" + service + "' is configured");
    }
    HttpFields fields = request.getHeaders();
    Result<Long> millis = deadlineMillis(fields, defaultMillis.getAsLong());
    return millis.then(remaining -> read(request, service, path, now, remaining));
  }

  private static Result<CallerRequest> read(
      Request request, String service, String path, long now, long remainingMillis) {
    HttpFields fields = request.getHeaders();
    String caller = fields.get(CallerHeaders.CALLER);
    String key = fields.get(CallerHeaders.KEY);
    String idempotencyKey = fields.get(CallerHeaders.IDEMPOTENCY_KEY);
    for (String name : new String[] {caller, key, idempotencyKey}) {
      if (name != null && name.length() > CallerLimits.MAX_NAME_LENGTH) {
        return Result.failed(
            ErrorKind.BAD_REQUEST,
            CallerHeaders.CALLER
                + ", "
                + CallerHeaders.KEY
                + " or "
                + CallerHeaders.IDEMPOTENCY_KEY
                + " is longer than "
                + CallerLimits.MAX_NAME_LENGTH
                + " characters");
      }
    }
    List<Header> headers = new ArrayList<>();
    HopByHopHeaders.copyEndToEnd(fields, headers);
    // Only the entry assigns request ids; an id set by a caller would corrupt the timeline.
    headers.removeIf(header -> header.getName().equalsIgnoreCase(CallerHeaders.REQUEST_ID));
    return Result.ok(
        new CallerRequest(
            service,
            request.getMethod(),
            path,
            headers,
            ByteString.EMPTY,
            caller == null || caller.isEmpty() ? Request.getRemoteAddr(request) : caller,
            key == null ? "" : key,
            scopedKey(caller, idempotencyKey),
            IDEMPOTENT_METHODS.contains(request.getMethod()),
            now,
            now + TimeUnit.MILLISECONDS.toNanos(remainingMillis)));
  }

  /** Scopes the idempotency key to the caller, if the caller has a name. */
  private static String scopedKey(String caller, String idempotencyKey) {
    if (idempotencyKey == null || idempotencyKey.isEmpty()) {
      return "";
    }
    return (caller == null ? "" : caller) + '\n' + idempotencyKey;
  }

  private static String serviceName(String path) {
    int end = 1;
    while (end < path.length() && path.charAt(end) != '/' && path.charAt(end) != '?') {
      end++;
    }
    return path.substring(1, end);
  }

  private static Result<Long> deadlineMillis(HttpFields fields, long defaultMillis) {
    String value = fields.get(CallerHeaders.DEADLINE_MILLIS);
    if (value == null) {
      return Result.ok(defaultMillis);
    }
    try {
      long millis = Long.parseLong(value);
      if (millis > 0 && millis <= CallerLimits.MAX_DEADLINE_MILLIS) {
        return Result.ok(millis);
      }
    } catch (NumberFormatException e) {
      // Handled below like a number out of range.
    }
    return Result.failed(
        ErrorKind.BAD_REQUEST,
        CallerHeaders.DEADLINE_MILLIS
            + " is not a whole number from 1 to "
            + CallerLimits.MAX_DEADLINE_MILLIS
            + ": '"
            + value
            + "'");
  }
}
