package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.job.TaskClass;

/**
 * Lengths of leases, and how long an entry waits for a silent VM.
 *
 * <p>Immutable. A longer lease lets tasks survive a longer outage of the log, but delays the next
 * attempt after the silent death of a VM by as much. The defaults follow from the table in
 * docs/proofs-tasks.md.
 *
 * @param latencyCriticalMillis the lease of latency-critical tasks, in milliseconds
 * @param batchMillis the lease of batch tasks, in milliseconds
 * @param silenceMillis a VM is revoked when no entry has received anything from it for this long,
 *     in milliseconds
 */
public record LeaseTerms(long latencyCriticalMillis, long batchMillis, long silenceMillis) {
  /** The terms where no configuration sets others. */
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
   * Returns how long to wait after reading a revocation until a lease of the given length has
   * certainly expired, in milliseconds: the lease, 1% for clocks that run at different speeds
   * (crystals differ by less than 0.1%), and a second for the worker to stop its tasks.
   */
  public static long maxRemainingMillis(long leaseMillis) {
    return leaseMillis + leaseMillis / CLOCK_DRIFT_DIVISOR + FIXED_MARGIN_MILLIS;
  }
}
