package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A whole request of a caller. Immutable. Rejects nulls.
 *
 * @param service the service asked for
 * @param method the HTTP method
 * @param path the raw path with the query
 * @param headers the headers that travel with the message
 * @param body the whole body
 * @param caller who asks
 * @param key what the request is about, or empty
 * @param idempotencyKey the idempotency key within the service, apart from that of other callers,
 *     or empty
 * @param idempotent whether running it twice does no harm
 * @param arrivedAt when it arrived, in nanoseconds of the process's monotonic clock
 * @param deadline when its answer is of no more use, on the same clock
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

  /** Returns whether the request must run once for all tries with its key. */
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
