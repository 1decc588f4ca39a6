package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/**
 * A target's whole answer. Immutable. Rejects nulls.
 *
 * @param status the HTTP status
 * @param headers the headers that travel with the message
 * @param body the whole body
 */
public record CallerResponse(int status, List<Header> headers, ByteString body) {
  /** Checks the components. */
  public CallerResponse {
    headers = ImmutableList.copyOf(headers);
    requireNonNull(body, "body");
  }
}
