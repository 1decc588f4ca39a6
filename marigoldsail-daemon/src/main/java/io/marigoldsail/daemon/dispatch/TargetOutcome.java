package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/** The outcome of a request sent to a {@link Target}. Immutable. Rejects nulls. */
public sealed interface TargetOutcome {
  /**
   * The target sent a complete response.
   *
   * @param status the HTTP status
   * @param headers the end-to-end headers
   * @param body the complete body
   * @param release returns the bytes of the body to the process's memory budget; the receiver runs
   *     it once, when it no longer holds the body
   */
  record Responded(int status, List<Header> headers, ByteString body, Runnable release)
      implements TargetOutcome {
    /** Checks the components. */
    public Responded {
      headers = ImmutableList.copyOf(headers);
      requireNonNull(body, "body");
      requireNonNull(release, "release");
    }
  }

  /** No byte of the request was sent, such as for lack of a connection. */
  record NotSent(String detail) implements TargetOutcome {
    /** Checks the component. */
    public NotSent {
      requireNonNull(detail, "detail");
    }
  }

  /** The request was sent, at least in part, and no response was received. */
  record NoResponse(String detail) implements TargetOutcome {
    /** Checks the component. */
    public NoResponse {
      requireNonNull(detail, "detail");
    }
  }

  /** The response was truncated, too long or invalid. */
  record InvalidResponse(String detail) implements TargetOutcome {
    /** Checks the component. */
    public InvalidResponse {
      requireNonNull(detail, "detail");
    }
  }
}
