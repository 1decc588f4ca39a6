package io.marigoldsail.workflow;

/**
 * How a run ended.
 *
 * <p>The numbers are written to durable records and never change.
 */
public enum RunOutcome {
  /** It completed. */
  DONE(1),
  /** It failed, through its own fault or the worker's. */
  FAILED(2),
  /** It was stopped on request. */
  STOPPED(3),
  /** Its lease expired. */
  LAPSED(4),
  /** Another member of its gang ended. */
  BROKEN(5),
  /** It waited too long for the other members of its gang. */
  ALONE(6),
  /** It never ran and never will: the worker or the side process refused it. */
  REFUSED(7),
  /** Its worker is gone, or every lease that it can have has expired. */
  LOST(8),
  /** The worker knows that the attempt is over, but no longer its outcome. */
  FORGOTTEN(9),
  /** It never ran and never will: the worker rejected the order as malformed. */
  REJECTED(10);

  private final int number;

  RunOutcome(int number) {
    this.number = number;
  }

  /** Returns the number in records and frames. */
  public int number() {
    return number;
  }

  /** Returns whether the task is complete, unless it is long-running. */
  public boolean completes() {
    return this == DONE;
  }

  /** Returns whether this counts towards the allowed failures. */
  public boolean countsAsFailure() {
    return this == FAILED;
  }

  /** Returns whether it limits later attempts: none follows completion, few follow failures. */
  public boolean limitsAttempts() {
    return completes() || countsAsFailure();
  }

  /** Returns whether the task may have run. */
  public boolean mayHaveRun() {
    return !isRefusal();
  }

  /** Returns whether the run was refused, for whatever reason. */
  public boolean isRefusal() {
    return this == REFUSED || this == REJECTED;
  }

  /**
   * Returns the outcome with the number; {@link #FORGOTTEN} for an unknown number, which a newer
   * version may write.
   */
  public static RunOutcome forNumber(int number) {
    for (RunOutcome outcome : values()) {
      if (outcome.number == number) {
        return outcome;
      }
    }
    return FORGOTTEN;
  }
}
