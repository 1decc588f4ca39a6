package io.marigoldsail.admission;

import static java.util.Objects.requireNonNull;

import java.util.random.RandomGenerator;

/**
 * Chooses the retry-after time of refused callers.
 *
 * <p>Load pattern: thousands of requests are refused within a second. With the same retry-after
 * time, their callers would return together and be refused together. The time is the wait of the
 * current queue plus a random part, which spreads the refused callers over the time needed to serve
 * all of them, so that their retries add no more load than the service can serve.
 *
 * <p>Recent refusals are counted with an exponential decay of half-life {@link
 * #REFUSAL_HALF_LIFE_NANOS}. The spread is at least a second, because the Retry-After header counts
 * whole seconds, and at most {@link #MAX_SPREAD_MILLIS}, because an estimate does not justify a
 * delay of minutes.
 *
 * <p>Not thread-safe.
 */
public final class RetryAfterEstimator {
  static final long REFUSAL_HALF_LIFE_NANOS = 2_000_000_000L;
  static final long MAX_SPREAD_MILLIS = 30_000;
  private static final long MIN_SPREAD_MILLIS = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final RandomGenerator random;
  private double recentRefusals;
  private long refusedUpdatedAt;

  /** Creates an estimator without recent refusals. */
  public RetryAfterEstimator(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /**
   * Records a refusal and returns its retry-after time, in milliseconds.
   *
   * @param waitNanos wait of the last request in the queue, in nanoseconds
   * @param requestsPerSecond requests served per second
   * @param now current monotonic time, in nanoseconds
   */
  public long retryAfterMillis(double waitNanos, double requestsPerSecond, long now) {
    double ageNanos = Math.max(0, now - refusedUpdatedAt);
    recentRefusals = recentRefusals * Math.pow(0.5, ageNanos / REFUSAL_HALF_LIFE_NANOS) + 1;
    refusedUpdatedAt = now;
    long spreadMillis = (long) (recentRefusals / requestsPerSecond * MILLIS_PER_SECOND);
    spreadMillis = Math.max(MIN_SPREAD_MILLIS, Math.min(MAX_SPREAD_MILLIS, spreadMillis));
    return (long) (waitNanos / 1e6) + 1 + random.nextLong(spreadMillis);
  }
}
