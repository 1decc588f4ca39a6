package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A request as a target gets it. Immutable. Rejects nulls.
 *
 * @param method the HTTP method
 * @param path the raw path with the query
 * @param headers the headers that travel with the message
 * @param body the whole body
 * @param deadline when the target is given up, in nanoseconds of the process's monotonic clock
 */
public record TargetRequest(
    String method, String path, List<Header> headers, ByteString body, long deadline) {
  /** Checks the components. */
  public TargetRequest {
    requireNonNull(method, "method");
    requireNonNull(path, "path");
    headers = ImmutableList.copyOf(headers);
    requireNonNull(body, "body");
  }
}
