package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A complete request of a caller. Immutable. Rejects nulls.
 *
 * @param service the requested service
 * @param method the HTTP method
 * @param path the raw path with the query
 * @param headers the end-to-end headers
 * @param body the complete body
 * @param caller the name or IP address of the caller
 * @param key the key of the request's subject, or empty
 * @param idempotencyKey the idempotency key within the service, scoped to the caller, or empty
 * @param idempotent whether running the request twice has the same effect as running it once
 * @param arrivedAt the arrival time, in nanoseconds of the process's monotonic clock
 * @param deadline when the response is no longer needed, on the same clock
 */
public record CallerRequest(
    String service,
    String method,
    String path,
    List<Header> headers,
    ByteString body,
    String caller,
    String key,
    String idempotencyKey,
    boolean idempotent,
    long arrivedAt,
    long deadline) {
  /** Checks the components. */
  public CallerRequest {
    requireNonNull(service, "service");
    requireNonNull(method, "method");
    requireNonNull(path, "path");
    headers = ImmutableList.copyOf(headers);
    requireNonNull(body, "body");
    requireNonNull(caller, "caller");
    requireNonNull(key, "key");
    requireNonNull(idempotencyKey, "idempotencyKey");
  }

  /** Returns whether the request must run only once for all requests with its idempotency key. */
  public boolean isKeyed() {
    return !idempotent && !idempotencyKey.isEmpty();
  }

  /** Returns this request with the given body. */
  public CallerRequest withBody(ByteString newBody) {
    return new CallerRequest(
        service,
        method,
        path,
        headers,
        newBody,
        caller,
        key,
        idempotencyKey,
        idempotent,
        arrivedAt,
        deadline);
  }
}
