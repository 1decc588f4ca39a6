package io.marigoldsail.daemon.dispatch;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.protocol.Header;
import java.util.List;

/** What came of a request handed to a {@link TargetCommand}. Immutable. Rejects nulls. */
public sealed interface TargetOutcome {
  /**
   * The target answered, and the answer is whole.
   *
   * @param status the HTTP status
   * @param headers the headers that travel with the message
   * @param body the whole body
   * @param release gives back what the body holds of the process's memory budget; the receiver runs
   *     it once, when it holds the body no more
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

  /** Nothing of the request was sent: there was no connection to send it on. */
  record NotSent(String detail) implements TargetOutcome {
    /** Checks the component. */
    public NotSent {
      requireNonNull(detail, "detail");
    }
  }

  /** The request was sent, at least in part, and no answer came. */
  record NoResponse(String detail) implements TargetOutcome {
    /** Checks the component. */
    public NoResponse {
      requireNonNull(detail, "detail");
    }
  }

  /** An answer began and was cut short, or was too long or no valid answer. */
  record InvalidResponse(String detail) implements TargetOutcome {
    /** Checks the component. */
    public InvalidResponse {
      requireNonNull(detail, "detail");
    }
  }
}
