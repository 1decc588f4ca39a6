package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.job.TaskClass;

/**
 * How long leases last, and how long a silent VM is waited for.
 *
 * <p>Immutable. A longer lease lets tasks survive a longer outage of the log; it also delays the
 * next attempt after a VM's silent death by as much. The defaults follow from the table in
 * docs/proofs-tasks.md.
 *
 * @param latencyCriticalMillis the lease of latency-critical tasks, in milliseconds
 * @param batchMillis the lease of batch tasks, in milliseconds
 * @param silenceMillis a VM that no entry hears for so long is revoked, in milliseconds
 */
public record LeaseTerms(long latencyCriticalMillis, long batchMillis, long silenceMillis) {
  /** The terms where no configuration gives others. */
  public static final LeaseTerms DEFAULT = new LeaseTerms(30_000, 120_000, 6_000);

  private static final long FIXED_MARGIN_MILLIS = 1_000;
  private static final long CLOCK_DRIFT_DIVISOR = 100;

  /** Checks the components. */
  public LeaseTerms {
    checkArgument(
        latencyCriticalMillis > 0,
        "latencyCriticalMillis is not positive: %s",
        latencyCriticalMillis);
    checkArgument(batchMillis > 0, "batchMillis is not positive: %s", batchMillis);
    checkArgument(silenceMillis > 0, "silenceMillis is not positive: %s", silenceMillis);
  }

  /** Returns the lease of tasks of the given class, in milliseconds. */
  public long leaseMillis(TaskClass taskClass) {
    return switch (taskClass) {
      case LATENCY_CRITICAL -> latencyCriticalMillis;
      case BATCH -> batchMillis;
    };
  }

  /**
   * Returns how long to wait from having read a revocation until a lease of the given length is
   * surely over, in milliseconds: the lease, 1% for clocks that run at different speeds (crystals
   * differ by less than 0.1%), and a second for the worker to stop what runs.
   */
  public static long maxRemainingMillis(long leaseMillis) {
    return leaseMillis + leaseMillis / CLOCK_DRIFT_DIVISOR + FIXED_MARGIN_MILLIS;
  }
}
