package io.marigoldsail.workflow;

/**
 * How a run ended.
 *
 * <p>Numbers are written to durable records and never change.
 */
public enum RunOutcome {
  /** It did its work. */
  DONE(1),
  /** It failed, by its own fault or the worker's. */
  FAILED(2),
  /** It was told to stop. */
  STOPPED(3),
  /** Its lease ran out. */
  LAPSED(4),
  /** Another member of its gang ended. */
  BROKEN(5),
  /** It waited too long for the other members of its gang. */
  ALONE(6),
  /** It never ran and never will: the worker or the side process refused it. */
  REFUSED(7),
  /** The worker that it ran on is gone, or every lease it could have is over. */
  LOST(8),
  /** The worker knows that the attempt is over, and not how it ended. */
  FORGOTTEN(9);

  private final int number;

  RunOutcome(int number) {
    this.number = number;
  }

  /** Returns the number in records and frames. */
  public int number() {
    return number;
  }

  /** Returns whether the task is done for good, unless it is one that lasts. */
  public boolean completes() {
    return this == DONE;
  }

  /** Returns whether this uses up one of the allowed failures. */
  public boolean countsAsFailure() {
    return this == FAILED;
  }

  /** Returns whether the task may have worked. */
  public boolean mayHaveRun() {
    return this != REFUSED;
  }

  /** Returns the outcome of a number; {@link #FORGOTTEN} for one of a newer version. */
  public static RunOutcome forNumber(int number) {
    for (RunOutcome outcome : values()) {
      if (outcome.number == number) {
        return outcome;
      }
    }
    return FORGOTTEN;
  }
}
