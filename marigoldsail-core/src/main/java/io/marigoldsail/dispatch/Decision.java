package io.marigoldsail.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Failure;

/** An action that a {@link RequestPolicy} requires now. Immutable. */
public sealed interface Decision {
  /** Returns the number of the request that the decision applies to. */
  long request();

  /**
   * Send the request to a target.
   *
   * @param request number of the request
   * @param vm VM of the target
   * @param attempt attempt number, starting at 1
   * @param reason why this target was chosen, for the request timeline
   */
  record Send(long request, String vm, int attempt, String reason) implements Decision {
    /** Checks the components. */
    public Send {
      requireNonNull(vm, "vm");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * Respond to the request with a failure now. The policy no longer tracks the request.
   *
   * @param request number of the request
   * @param failure the failure reported to the caller, with its retry-after time
   */
  record Refuse(long request, Failure failure) implements Decision {
    /** Checks the components. */
    public Refuse {
      requireNonNull(failure, "failure");
    }
  }
}
