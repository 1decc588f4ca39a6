package io.marigoldsail.dispatch;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Failure;

/** What a {@link RequestPolicy} wants done now. Immutable. */
public sealed interface Decision {
  /** Returns the number of the request that this is about. */
  long request();

  /**
   * Send the request to a target.
   *
   * @param request the request's number
   * @param vm the target's VM
   * @param attempt 1 for the first try
   * @param reason why this target, for the time line
   */
  record Send(long request, String vm, int attempt, String reason) implements Decision {
    /** Checks the components. */
    public Send {
      requireNonNull(vm, "vm");
      requireNonNull(reason, "reason");
    }
  }

  /**
   * Answer the request now with a failure; the policy has forgotten it.
   *
   * @param request the request's number
   * @param failure what the caller is told, with the time to come back
   */
  record Refuse(long request, Failure failure) implements Decision {
    /** Checks the components. */
    public Refuse {
      requireNonNull(failure, "failure");
    }
  }
}
