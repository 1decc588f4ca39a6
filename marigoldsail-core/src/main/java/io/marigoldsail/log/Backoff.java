package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for consecutive failures.
 *
 * <p>Each delay is drawn uniformly from the upper half of a range that doubles up to a maximum.
 * Hundreds of processes wait for a service during an outage; retries in step would overload it
 * again on recovery. With jitter they spread over half the maximum delay, and the first one still
 * comes within the maximum. Not thread-safe.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 30;

  private final long initialNanos;
  private final long maxNanos;
  private final RandomGenerator random;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param initialNanos the upper bound of the first delay, in nanoseconds
   * @param maxNanos the maximum delay, in nanoseconds
   * @param random the source of the jitter
   */
  public Backoff(long initialNanos, long maxNanos, RandomGenerator random) {
    checkArgument(initialNanos > 1, "initialNanos is not above 1: %s", initialNanos);
    checkArgument(
        maxNanos >= initialNanos, "maxNanos %s is below initialNanos %s", maxNanos, initialNanos);
    this.initialNanos = initialNanos;
    this.maxNanos = maxNanos;
    this.random = requireNonNull(random, "random");
  }

  /** Records a failure and returns the delay before the next attempt, in nanoseconds. */
  public long recordFailure() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    boolean atLimit = initialNanos > maxNanos >> doublings;
    long rangeNanos = atLimit ? maxNanos : initialNanos << doublings;
    return random.nextLong(rangeNanos / 2, rangeNanos + 1);
  }

  /** Records a success, which resets the delay. */
  public void recordSuccess() {
    failures = 0;
  }

  /** Returns whether the last attempt failed. */
  public boolean isFailing() {
    return failures > 0;
  }
}
