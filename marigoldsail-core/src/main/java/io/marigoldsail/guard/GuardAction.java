package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

/** Action decided by a {@link Guard}; each kind is immutable and rejects nulls. */
public sealed interface GuardAction {
  /** Returns the task's fencing token. */
  long token();

  /** Returns the reason, for people. */
  String reason();

  /** Limit the task to a share of its processors, 1 to 100 percent. */
  record Throttle(long token, int percent, String reason) implements GuardAction {
    /** Checks the components. */
    public Throttle {
      requireNonNull(reason, "reason");
    }
  }

  /** Write a checkpoint, stop the task and release it. */
  record Evict(long token, String reason) implements GuardAction {
    /** Checks the components. */
    public Evict {
      requireNonNull(reason, "reason");
    }
  }
}
