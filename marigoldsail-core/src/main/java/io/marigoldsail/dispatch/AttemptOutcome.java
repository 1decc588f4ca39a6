package io.marigoldsail.dispatch;

/** The outcome of one attempt of a request. */
public enum AttemptOutcome {
  /** The target responded; the response is passed to the caller whatever its status. */
  ANSWERED(true, false),
  /** The target responded with a server error (status 500 or above). */
  TARGET_ERROR(true, false),
  /** The attempt is proven not to have run; a tombstone prevents a late copy from running. */
  NOT_RUN(false, true),
  /** The target or the connection to it was lost; the attempt may have run. */
  LOST(true, false),
  /** The deadline passed while the target was processing the request. */
  TIMED_OUT(true, false);

  private final boolean mayHaveRun;
  private final boolean rejectedBySideProcess;

  AttemptOutcome(boolean mayHaveRun, boolean rejectedBySideProcess) {
    this.mayHaveRun = mayHaveRun;
    this.rejectedBySideProcess = rejectedBySideProcess;
  }

  /** Returns whether the request may have taken effect. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the side process rejected the request before it reached the target. */
  public boolean rejectedBySideProcess() {
    return rejectedBySideProcess;
  }

  /** Returns whether another attempt is safe. */
  public boolean mayRetry(boolean idempotent) {
    if (this == ANSWERED || this == TIMED_OUT) {
      return false;
    }
    return idempotent || !mayHaveRun;
  }
}
