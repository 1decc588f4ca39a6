package io.marigoldsail.lease;

/**
 * Evidence of a side process on its VM's registration: which one is current, and at which time it
 * was last confirmed not to be revoked.
 *
 * <p>All times are readings of the side process's own clock, among them the time of the request
 * that a confirmation returns, so neither transit time nor the drift of another clock can lengthen
 * a lease. Not thread-safe.
 */
public final class LeaseEvidence {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long processIncarnation;
  private long registration = -1;
  private long confirmedNanos;

  /**
   * Creates an instance without evidence.
   *
   * @param processIncarnation the start of this side process; confirmations for an earlier one are
   *     ignored
   */
  public LeaseEvidence(long processIncarnation) {
    this.processIncarnation = processIncarnation;
  }

  /** Effect of a confirmation. */
  public enum Change {
    /**
     * None: it was meant for an earlier process or registration, or is older than the present
     * evidence.
     */
    NONE,
    /** Leases may be renewed further. */
    EXTENDED,
    /** The VM has a new registration; runs of an earlier one must stop. */
    NEW_REGISTRATION
  }

  /**
   * Records a confirmation.
   *
   * @param confirmedRegistration the registration that was not revoked
   * @param forProcess the side process that the confirmation was meant for
   * @param requestedNanos when this process sent the confirmed request, on its own clock
   * @param nowNanos the present time, on the same clock
   */
  public Change confirm(
      long confirmedRegistration, long forProcess, long requestedNanos, long nowNanos) {
    boolean isValid = forProcess == processIncarnation && requestedNanos - nowNanos <= 0;
    if (!isValid || confirmedRegistration < registration) {
      return Change.NONE;
    }
    if (confirmedRegistration > registration) {
      registration = confirmedRegistration;
      confirmedNanos = requestedNanos;
      return Change.NEW_REGISTRATION;
    }
    if (requestedNanos - confirmedNanos <= 0) {
      return Change.NONE;
    }
    confirmedNanos = requestedNanos;
    return Change.EXTENDED;
  }

  /** Returns the current registration, or -1 if none was confirmed yet. */
  public long registration() {
    return registration;
  }

  /** Returns whether any confirmation was recorded. */
  public boolean isConfirmed() {
    return registration >= 0;
  }

  /**
   * Returns when a lease of the given length expires; meaningless unless {@link #isConfirmed()}.
   */
  public long deadlineNanos(long leaseMillis) {
    return confirmedNanos + leaseMillis * NANOS_PER_MILLI;
  }
}
