package io.marigoldsail.job;

/** Cause of an attempt's release. */
public enum ReleaseCause {
  /** The side process rejected its start. */
  REFUSED(false, false),
  /** The guard of its VM evicted it, or a preemption did. */
  EVICTED(true, true),
  /** Its lease expired. */
  LAPSED(true, false),
  /** Its VM was revoked and its lease must have expired. */
  VM_LOST(true, false),
  /** It was stopped for a planned shutdown of its VM, or on request. */
  STOPPED(true, true);

  private final boolean mayHaveRun;
  private final boolean endsAtCheckpoint;

  ReleaseCause(boolean mayHaveRun, boolean endsAtCheckpoint) {
    this.mayHaveRun = mayHaveRun;
    this.endsAtCheckpoint = endsAtCheckpoint;
  }

  /** Returns whether the attempt may have done work. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the attempt did no work after the checkpoint in the release. */
  public boolean endsAtCheckpoint() {
    return endsAtCheckpoint;
  }
}
