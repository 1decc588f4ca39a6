package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next try, after so many failures in a row.
 *
 * <p>Answers the pattern that a service comes back from an outage while hundreds of processes wait
 * for it: tries in step would knock it over again. Each wait is drawn evenly from the upper half of
 * a span that doubles up to a limit, so that tries spread over half that limit, and the first one
 * after the outage still comes within the limit. Not safe for use by several threads at once.
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
   * @param firstNanos the span after the first failure, in nanoseconds
   * @param limitNanos the longest span, in nanoseconds
   * @param random where the jitter comes from
   */
  public Backoff(long firstNanos, long limitNanos, RandomGenerator random) {
    checkArgument(firstNanos > 1, "firstNanos is too small: %s", firstNanos);
    checkArgument(limitNanos >= firstNanos, "limit %s below first %s", limitNanos, firstNanos);
    this.initialNanos = firstNanos;
    this.maxNanos = limitNanos;
    this.random = requireNonNull(random, "random");
  }

  /** Counts a failure and returns how long to wait, in nanoseconds. */
  public long recordFailure() {
    int doublings = Math.min(failures, MAX_DOUBLINGS);
    failures++;
    boolean atLimit = initialNanos > maxNanos >> doublings;
    long span = atLimit ? maxNanos : initialNanos << doublings;
    return random.nextLong(span / 2, span + 1);
  }

  /** Forgets all failures. */
  public void recordSuccess() {
    failures = 0;
  }

  /** Returns whether the last try failed. */
  public boolean isFailing() {
    return failures > 0;
  }
}
