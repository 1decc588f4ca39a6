package io.marigoldsail.lease;

/**
 * What a side process knows of its VM's registration: which one is current, and until when an entry
 * has borne out that it is not revoked.
 *
 * <p>All times are readings of the side process's own clock, among them the one that came back with
 * the vouch; so neither transit time nor another clock's drift can lengthen a lease. Not safe for
 * use by several threads.
 */
public final class LeaseEvidence {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long processIncarnation;
  private long registration = -1;
  private long confirmedNanos;

  /**
   * Creates evidence of nothing.
   *
   * @param processIncarnation this side process's start; vouches for an earlier one are dropped
   */
  public LeaseEvidence(long processIncarnation) {
    this.processIncarnation = processIncarnation;
  }

  /** What a vouch changed. */
  public enum Change {
    /**
     * Nothing: it was meant for an earlier process or registration, or is older than what stands.
     */
    NONE,
    /** Leases may be renewed further. */
    EXTENDED,
    /** The VM has a new registration; nothing of an earlier one may run on. */
    NEW_REGISTRATION
  }

  /**
   * Takes in a vouch.
   *
   * @param vouchedRegistration the registration that was not revoked
   * @param forProcess the side process that the vouch was meant for
   * @param askedNanos the reading of this process's clock that the evidence dates from
   * @param nowNanos this process's clock
   */
  public Change confirm(long vouchedRegistration, long forProcess, long askedNanos, long nowNanos) {
    boolean ours = forProcess == processIncarnation && askedNanos - nowNanos <= 0;
    if (!ours || vouchedRegistration < registration) {
      return Change.NONE;
    }
    if (vouchedRegistration > registration) {
      registration = vouchedRegistration;
      confirmedNanos = askedNanos;
      return Change.NEW_REGISTRATION;
    }
    if (askedNanos - confirmedNanos <= 0) {
      return Change.NONE;
    }
    confirmedNanos = askedNanos;
    return Change.EXTENDED;
  }

  /** Returns the current registration, or -1 if none was vouched for yet. */
  public long registration() {
    return registration;
  }

  /** Returns whether any vouch was taken in. */
  public boolean isConfirmed() {
    return registration >= 0;
  }

  /**
   * Returns until when a lease of the given length lasts; meaningless unless {@link
   * #isConfirmed()}.
   */
  public long deadlineNanos(long leaseMillis) {
    return confirmedNanos + leaseMillis * NANOS_PER_MILLI;
  }
}
