package io.marigoldsail.routing;

import io.marigoldsail.dispatch.AttemptOutcome;

/**
 * Detects whether a target is slow or failing compared with the others, and whether it has
 * recovered.
 *
 * <p>Load patterns: a target that becomes ten times slower, and a target that fails immediately.
 * Without detection the slow target holds requests ten times as long, and the failing one attracts
 * requests because it is always idle. Latency is averaged in logarithm: a job that takes fifty
 * times as long, one in twenty requests, shifts this mean by a fifth, but would shift a plain mean
 * by a factor of two and a half. Long jobs therefore do not make a target look slow. A target is
 * ejected, and receives only probes, if it is {@link #EJECT_RATIO} times slower than the median
 * target, or fails more than half of its requests while the median target does not.
 *
 * <p>Probes are requests of real callers, so they are few (see {@link Router}) and idempotent. The
 * target is readmitted with a slow start after {@link #PROBES_TO_RECOVER} consecutive good probes
 * with a mean latency below {@link #RECOVER_RATIO} times the median. A probe that fails or is slow
 * resets this streak.
 *
 * <p>Exponentially distributed latencies have a standard deviation of 1.28 in logarithm, and the
 * mean over about {@value #LATENCY_SAMPLES} responses one of 0.3; a ratio of four is 4.6 of these.
 * A tenfold slowdown crosses it after nine responses.
 *
 * <p>Not thread-safe.
 */
final class TargetHealth {
  static final double EJECT_RATIO = 4;
  static final double RECOVER_RATIO = 2.2;
  static final int PROBES_TO_RECOVER = 5;
  private static final double SLOW_PROBE_RATIO = 3;
  private static final int LATENCY_SAMPLES = 10;
  private static final int FAILURE_SAMPLES = 6;
  private static final double MAX_FAILURE_RATIO = 0.5;
  private static final int MIN_ATTEMPTS = 5;

  /**
   * Added to each latency, so that a millisecond of latency between zones does not matter for very
   * short requests.
   */
  private static final double LATENCY_OFFSET_NANOS = 2_000_000;

  private double logLatency;
  private double failureRatio;
  private int attempts;
  private boolean ejected;
  private int goodProbes;
  private double probeLogSum;

  /** Median latency and failure ratio of all targets of a service. Immutable. */
  record FleetMedians(double logLatency, double failureRatio, int targets) {
    static final FleetMedians UNKNOWN = new FleetMedians(0, 0, 0);
  }

  static double logOf(long nanos) {
    return Math.log(nanos + LATENCY_OFFSET_NANOS);
  }

  boolean isMeasured() {
    return attempts >= MIN_ATTEMPTS;
  }

  boolean isEjected() {
    return ejected;
  }

  double logLatency() {
    return logLatency;
  }

  double failureRatio() {
    return failureRatio;
  }

  /** Returns this target's latency relative to the median target; 1 while unknown. */
  double relativeLatency(FleetMedians fleet) {
    if (!isMeasured() || fleet.targets() == 0) {
      return 1;
    }
    return Math.exp(logLatency - fleet.logLatency());
  }

  /**
   * Records the outcome of an attempt; returns whether the target was ejected or readmitted by it.
   *
   * @param nanos time from sending to the outcome, in nanoseconds
   * @param fleet medians of all targets
   * @param mayEject whether another target may be ejected
   */
  boolean attemptEnded(AttemptOutcome outcome, long nanos, FleetMedians fleet, boolean mayEject) {
    boolean failed = outcome != AttemptOutcome.ANSWERED;
    if (outcome == AttemptOutcome.TIMED_OUT && !exceededEjectLatency(nanos, fleet)) {
      return false;
    }
    if (ejected) {
      return probeEnded(failed, logOf(nanos), fleet);
    }
    recordAttempt(failed, logOf(nanos));
    if (mayEject && isMeasured() && fleet.targets() > 1 && isOutlier(fleet)) {
      ejected = true;
      resetStreak();
      return true;
    }
    return false;
  }

  /**
   * Returns whether a timeout is evidence of a slow target. A request that waited long in the queue
   * is sent with little time left, and its timeout is not the target's fault. Counted as failures,
   * such timeouts after a burst ejected eight of eleven healthy targets.
   */
  private static boolean exceededEjectLatency(long nanos, FleetMedians fleet) {
    return logOf(nanos) - fleet.logLatency() > Math.log(EJECT_RATIO);
  }

  private void recordAttempt(boolean failed, double logNanos) {
    attempts++;
    failureRatio += ((failed ? 1 : 0) - failureRatio) / FAILURE_SAMPLES;
    if (!failed) {
      logLatency += (logNanos - logLatency) / Math.min(attempts, LATENCY_SAMPLES);
    }
  }

  private boolean isOutlier(FleetMedians fleet) {
    boolean failing =
        failureRatio > MAX_FAILURE_RATIO && fleet.failureRatio() < MAX_FAILURE_RATIO / 2;
    boolean slow = relativeLatency(fleet) > EJECT_RATIO;
    return failing || slow;
  }

  private boolean probeEnded(boolean failed, double logNanos, FleetMedians fleet) {
    if (failed || logNanos - fleet.logLatency() > Math.log(SLOW_PROBE_RATIO)) {
      resetStreak();
      return false;
    }
    goodProbes++;
    probeLogSum += logNanos;
    if (goodProbes < PROBES_TO_RECOVER) {
      return false;
    }
    boolean recovered =
        probeLogSum / PROBES_TO_RECOVER - fleet.logLatency() < Math.log(RECOVER_RATIO);
    resetStreak();
    if (recovered) {
      ejected = false;
      failureRatio = 0;
      logLatency = fleet.logLatency();
    }
    return recovered;
  }

  private void resetStreak() {
    goodProbes = 0;
    probeLogSum = 0;
  }

  /** Returns whether the last probe was good, so that the next one may follow soon. */
  boolean hasGoodProbeStreak() {
    return goodProbes > 0;
  }
}
