package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

/** What a {@link Guard} wants done; each kind is immutable and rejects nulls. */
public sealed interface GuardAction {
  /** Returns the task's fencing token. */
  long token();

  /** Returns the grounds, for people. */
  String reason();

  /** Let the task use so much of its processors, 1 to 100 percent. */
  record Throttle(long token, int percent, String reason) implements GuardAction {
    /** Checks the components. */
    public Throttle {
      requireNonNull(reason, "why");
    }
  }

  /** Write a checkpoint, stop the task and release it. */
  record Evict(long token, String reason) implements GuardAction {
    /** Checks the components. */
    public Evict {
      requireNonNull(reason, "why");
    }
  }
}
