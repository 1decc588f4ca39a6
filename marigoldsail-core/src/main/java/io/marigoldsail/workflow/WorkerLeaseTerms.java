package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The lengths that keep a task in one place, all worked out from the longest lease that a worker
 * grants.
 *
 * <p>What must hold: a side process lets its worker run on until {@code evidence + lease}, starts
 * nothing unless the worker's deadline is at most {@code evidence + bound}, and an owner counts a
 * run as over only {@code takeover} after the last evidence that it can have sent, where {@code
 * takeover >= bound / (1 - drift)}: the worker's clock may run slow by the drift. {@code lease}
 * must outlast a restart of a side process and of an owner, and a store that is away for some
 * seconds.
 *
 * @param leaseMillis how long evidence keeps runs alive, on the worker's clock
 * @param boundMillis the longest that a run can live after the evidence that it rests on
 * @param takeoverMillis how long an owner waits after its last evidence
 */
public record WorkerLeaseTerms(long leaseMillis, long boundMillis, long takeoverMillis) {
  /** The lease as a share of the longest one, in percent. */
  private static final long LEASE_PERCENT = 65;

  /** The bound as a share of the longest lease, in percent; the rest is margin. */
  private static final long BOUND_PERCENT = 78;

  /** How much slower a worker's clock may run, in percent: 2 by contract, one more for ours. */
  private static final long DRIFT_PERCENT = 3;

  /** The longest time before a deadline at which runs of a silent owner are stopped, in millis. */
  private static final long MAX_STOP_AHEAD_MILLIS = 1_500;

  /**
   * The same as a share of the lease, in percent. Evidence is up to two seconds old when it counts,
   * and a short lease must leave it that, or what runs on calm VMs is stopped.
   */
  private static final long STOP_AHEAD_PERCENT = 25;

  /** What an owner waits in addition, in milliseconds: timers fire late. */
  private static final long MARGIN_MILLIS = 200;

  /** Checks the components. */
  public WorkerLeaseTerms {
    checkArgument(0 < leaseMillis, "leaseMillis is not positive: %s", leaseMillis);
    checkArgument(leaseMillis <= boundMillis, "lease %s over bound %s", leaseMillis, boundMillis);
    checkArgument(boundMillis < takeoverMillis, "takeover %s too short", takeoverMillis);
  }

  /** Returns the terms for workers that grant leases of at most the given length. */
  public static WorkerLeaseTerms forMaxLease(long longestMillis) {
    checkArgument(longestMillis >= 1_000, "longestMillis is under a second: %s", longestMillis);
    long lease = longestMillis * LEASE_PERCENT / 100;
    long bound = longestMillis * BOUND_PERCENT / 100;
    long takeover = bound * 100 / (100 - DRIFT_PERCENT) + MARGIN_MILLIS;
    return new WorkerLeaseTerms(lease, bound, takeover);
  }

  /**
   * Returns how long before the deadline of evidence the runs that rest on it are stopped, so that
   * one silent owner does not end the runs of all others.
   */
  public long stopAheadMillis() {
    return Math.min(MAX_STOP_AHEAD_MILLIS, leaseMillis * STOP_AHEAD_PERCENT / 100);
  }
}
