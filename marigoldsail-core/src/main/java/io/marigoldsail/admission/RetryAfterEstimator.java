package io.marigoldsail.admission;

import static java.util.Objects.requireNonNull;

import java.util.random.RandomGenerator;

/**
 * Chooses when a refused caller is told to come back.
 *
 * <p>Load pattern: thousands are refused within a second. Told the same time, they return together
 * and are refused together. The time is the wait of those already in the queue, plus a random part
 * that spreads the refused over as long as it takes to serve them all, so that their return adds at
 * most what the service can take.
 *
 * <p>The refused of late are counted with a weight that halves every {@link
 * #REFUSAL_HALF_LIFE_NANOS}. The spread is a second at least, for the header that carries it counts
 * whole seconds, and {@link #MAX_SPREAD_MILLIS} at most, because nobody should be sent away for
 * minutes on an estimate. Not safe for use by several threads.
 */
public final class RetryAfterEstimator {
  static final long REFUSAL_HALF_LIFE_NANOS = 2_000_000_000L;
  static final long MAX_SPREAD_MILLIS = 30_000;
  private static final long MIN_SPREAD_MILLIS = 1_000;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final RandomGenerator random;
  private double recentRefusals;
  private long refusedUpdatedAt;

  /** Creates a chooser that has refused nobody yet. */
  public RetryAfterEstimator(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /**
   * Returns milliseconds after which the caller refused now should come back.
   *
   * @param waitNanos how long the last of the queue waits
   * @param perSecond how many requests are served a second
   */
  public long retryAfterMillis(double waitNanos, double perSecond, long now) {
    double age = Math.max(0, now - refusedUpdatedAt);
    recentRefusals = recentRefusals * Math.pow(0.5, age / REFUSAL_HALF_LIFE_NANOS) + 1;
    refusedUpdatedAt = now;
    long spread = (long) (recentRefusals / perSecond * MILLIS_PER_SECOND);
    spread = Math.max(MIN_SPREAD_MILLIS, Math.min(MAX_SPREAD_MILLIS, spread));
    return (long) (waitNanos / 1e6) + 1 + random.nextLong(spread);
  }
}
