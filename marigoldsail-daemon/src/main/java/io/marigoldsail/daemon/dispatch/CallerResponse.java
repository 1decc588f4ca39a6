package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A target's complete response to a caller. Immutable. Rejects nulls.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers
 * @param body the complete body
 */
public record CallerResponse(int status, List<Header> headers, ByteString body) {
  /** Checks the components. */
  public CallerResponse {
    headers = ImmutableList.copyOf(headers);
    requireNonNull(body, "body");
  }
}
