package io.marigoldsail.job;

/** Why an attempt was released. */
public enum ReleaseCause {
  /** Its side process never started it. */
  REFUSED(false, false),
  /** The guard of its VM evicted it. */
  EVICTED(true, true),
  /** Its lease passed. */
  LAPSED(true, false),
  /** Its VM was revoked and the lease is surely over. */
  VM_LOST(true, false),
  /** It was stopped for a planned stop of its VM, or on request. */
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

  /** Returns whether nothing was done after the checkpoint that the release names. */
  public boolean endsAtCheckpoint() {
    return endsAtCheckpoint;
  }
}
