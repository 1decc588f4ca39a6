package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A request that is sent to a target. Immutable. Rejects nulls.
 *
 * @param method the HTTP method
 * @param path the raw path with the query
 * @param headers the end-to-end headers
 * @param body the complete body
 * @param deadline when to stop waiting for the response, in nanoseconds of the process's monotonic
 *     clock
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
