package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Durations that ensure that a task runs in one place only, derived from the longest lease that a
 * worker grants.
 *
 * <p>Invariants: a side process lets its worker run until {@code evidence + lease} and starts a run
 * only if the worker's deadline is at most {@code evidence + bound}. An owner considers a run over
 * only {@code takeover} after the last evidence that it can have sent. {@code takeover >= bound /
 * (1 - drift)} holds, because the worker's clock may be slow by the drift. {@code lease} must
 * outlast a restart of a side process or an owner, and a store outage of some seconds.
 *
 * @param leaseMillis how long evidence keeps runs alive, in milliseconds on the worker's clock
 * @param boundMillis the longest time that a run can live after its evidence, in milliseconds
 * @param takeoverMillis how long an owner waits after its last evidence, in milliseconds
 */
public record WorkerLeaseTerms(long leaseMillis, long boundMillis, long takeoverMillis) {
  /** The lease as a percentage of the longest lease. */
  private static final long LEASE_PERCENT = 65;

  /** The bound as a percentage of the longest lease; the rest is margin. */
  private static final long BOUND_PERCENT = 78;

  /**
   * How much slower a worker's clock may run, in percent: 2 by contract and 1 for the owner's
   * clock.
   */
  private static final long DRIFT_PERCENT = 3;

  /**
   * Longest time before a deadline at which runs of a silent owner are stopped, in milliseconds.
   */
  private static final long MAX_STOP_AHEAD_MILLIS = 1_500;

  /**
   * Limit on the same time as a percentage of the lease. Evidence is up to two seconds old when it
   * takes effect; without this limit, a short lease would stop runs on healthy VMs.
   */
  private static final long STOP_AHEAD_PERCENT = 25;

  /** Additional wait of an owner in milliseconds, because timers fire late. */
  private static final long MARGIN_MILLIS = 200;

  /** Checks the components. */
  public WorkerLeaseTerms {
    checkArgument(0 < leaseMillis, "leaseMillis is not positive: %s", leaseMillis);
    checkArgument(
        leaseMillis <= boundMillis,
        "leaseMillis %s exceeds boundMillis %s",
        leaseMillis,
        boundMillis);
    checkArgument(
        boundMillis < takeoverMillis,
        "takeoverMillis is not greater than boundMillis: %s",
        takeoverMillis);
  }

  /**
   * Returns the terms for workers that grant leases up to the given length.
   *
   * @param longestMillis the longest lease in milliseconds, at least 1,000
   */
  public static WorkerLeaseTerms forMaxLease(long longestMillis) {
    checkArgument(longestMillis >= 1_000, "longestMillis is less than 1000: %s", longestMillis);
    long lease = longestMillis * LEASE_PERCENT / 100;
    long bound = longestMillis * BOUND_PERCENT / 100;
    long takeover = bound * 100 / (100 - DRIFT_PERCENT) + MARGIN_MILLIS;
    return new WorkerLeaseTerms(lease, bound, takeover);
  }

  /**
   * Returns how long before the deadline of their evidence runs are stopped, in milliseconds, so
   * that one silent owner does not end the runs of all others.
   */
  public long stopAheadMillis() {
    return Math.min(MAX_STOP_AHEAD_MILLIS, leaseMillis * STOP_AHEAD_PERCENT / 100);
  }
}
