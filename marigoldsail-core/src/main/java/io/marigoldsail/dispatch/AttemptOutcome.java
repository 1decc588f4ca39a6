package io.marigoldsail.dispatch;

/** How one attempt of a request ended. */
public enum AttemptOutcome {
  /** The target answered; whatever the status, the answer goes to the caller. */
  ANSWERED(true, false),
  /** The target answered that it failed (a status of 500 or more). */
  TARGET_ERROR(true, false),
  /** Proven not to have run; a tombstone keeps a late copy from running. */
  NOT_RUN(false, true),
  /** The target or the way to it was lost; it may have run. */
  LOST(true, false),
  /** The deadline passed while the target was at work. */
  TIMED_OUT(true, false);

  private final boolean mayHaveRun;
  private final boolean rejectedBySideProcess;

  AttemptOutcome(boolean mayHaveRun, boolean refusedByTarget) {
    this.mayHaveRun = mayHaveRun;
    this.rejectedBySideProcess = refusedByTarget;
  }

  /** Returns whether the request may have taken effect. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the side process turned the request away before its target saw it. */
  public boolean rejectedBySideProcess() {
    return rejectedBySideProcess;
  }

  /** Returns whether another attempt can do no harm. */
  public boolean mayRetry(boolean idempotent) {
    if (this == ANSWERED || this == TIMED_OUT) {
      return false;
    }
    return idempotent || !mayHaveRun;
  }
}
