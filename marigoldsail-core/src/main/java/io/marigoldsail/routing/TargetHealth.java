package io.marigoldsail.routing;

import io.marigoldsail.dispatch.AttemptOutcome;

/**
 * Whether one target is slow or failing compared with the rest, and how it is tried again.
 *
 * <p>Load patterns: a target ten times slower, and one that fails at once. Without a guard the slow
 * one holds requests ten times as long, and the failing one, always idle, attracts them. Each
 * answer moves the mean of the logarithm of the latency: a job fifty times as long, one in twenty,
 * moves it by a fifth, where it would move a plain mean by two and a half times; so long jobs do
 * not make a target look slow. A target {@link #EJECT_RATIO} times slower than the median of all,
 * or failing more than half of its requests while the median does not, is eased off: it gets single
 * probes.
 *
 * <p>Probes are requests of real callers, so they are few (see {@link Router}) and idempotent. The
 * target is given back its share, by a slow start, when {@link #PROBES_TO_RECOVER} in a row had a
 * mean below {@link #RECOVER_RATIO}; a probe that fails or is slow ends the row.
 *
 * <p>Grounds: latencies spread like an exponential have a standard deviation of 1.28 in logarithm,
 * the mean over about {@value #SAMPLES} answers one of 0.3; a ratio of four is 4.6 of these. Ten
 * times slower crosses it after nine answers. Not safe for use by several threads.
 */
final class TargetHealth {
  static final double EJECT_RATIO = 4;
  static final double RECOVER_RATIO = 2.2;
  static final int PROBES_TO_RECOVER = 5;
  private static final double SLOW_PROBE_RATIO = 3;
  private static final int LATENCY_SAMPLES = 10;
  private static final int FAILURE_SAMPLES = 6;
  private static final double MAX_FAILURE_RATIO = 0.5;
  private static final int MIN_ANSWERS = 5;

  /** Keeps a millisecond's difference between zones from counting for very short requests. */
  private static final double LATENCY_OFFSET_NANOS = 2_000_000;

  private double logLatency;
  private double failureRatio;
  private int answers;
  private boolean ejected;
  private int goodProbes;
  private double probeLogSum;

  /** What the targets of a service have in common, to compare one with. Immutable. */
  record FleetMedians(double logLatency, double failureRatio, int targets) {
    static final FleetMedians UNKNOWN = new FleetMedians(0, 0, 0);
  }

  static double logOf(long nanos) {
    return Math.log(nanos + LATENCY_OFFSET_NANOS);
  }

  boolean isMeasured() {
    return answers >= MIN_ANSWERS;
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

  /** Returns how many times slower than the median target this one is; 1 while unknown. */
  double relativeLatency(FleetMedians fleet) {
    if (!isMeasured() || fleet.targets() == 0) {
      return 1;
    }
    return Math.exp(logLatency - fleet.logLatency());
  }

  /**
   * Takes in how an attempt ended after the given nanoseconds; returns whether health changed.
   *
   * @param mayEase whether another target may be eased off
   */
  boolean attemptEnded(AttemptOutcome outcome, long nanos, FleetMedians fleet, boolean mayEase) {
    boolean failed = outcome != AttemptOutcome.ANSWERED;
    if (outcome == AttemptOutcome.TIMED_OUT && !exceededEjectLatency(nanos, fleet)) {
      return false;
    }
    if (ejected) {
      return probeEnded(failed, logOf(nanos), fleet);
    }
    recordAttempt(failed, logOf(nanos));
    if (mayEase && isMeasured() && fleet.targets() > 1 && isOutlier(fleet)) {
      ejected = true;
      resetStreak();
      return true;
    }
    return false;
  }

  /**
   * A request that waited long for its turn is sent with little time left. That it then times out
   * says nothing of the target; counted as failures, such timeouts after a burst eased off eight of
   * eleven healthy targets.
   */
  private static boolean exceededEjectLatency(long nanos, FleetMedians fleet) {
    return logOf(nanos) - fleet.logLatency() > Math.log(EJECT_RATIO);
  }

  private void recordAttempt(boolean failed, double log) {
    answers++;
    failureRatio += ((failed ? 1 : 0) - failureRatio) / FAILURE_SAMPLES;
    if (!failed) {
      logLatency += (log - logLatency) / Math.min(answers, LATENCY_SAMPLES);
    }
  }

  private boolean isOutlier(FleetMedians fleet) {
    boolean failing =
        failureRatio > MAX_FAILURE_RATIO && fleet.failureRatio() < MAX_FAILURE_RATIO / 2;
    boolean slow = relativeLatency(fleet) > EJECT_RATIO;
    return failing || slow;
  }

  private boolean probeEnded(boolean failed, double log, FleetMedians fleet) {
    if (failed || log - fleet.logLatency() > Math.log(SLOW_PROBE_RATIO)) {
      resetStreak();
      return false;
    }
    goodProbes++;
    probeLogSum += log;
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

  /** Returns whether the last probe was good and the next may follow soon. */
  boolean hasGoodProbeStreak() {
    return goodProbes > 0;
  }
}
