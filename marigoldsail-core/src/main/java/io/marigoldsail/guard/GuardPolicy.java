package io.marigoldsail.guard;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Policy of a guard, from a site's configuration.
 *
 * <p>Immutable.
 *
 * @param tailLatencyWeight weight of a slow service
 * @param evictionsWeight weight of an eviction
 * @param throughputWeight weight of throttled batch work
 * @param evictionsPerHour evictions that one VM may make in an hour
 */
public record GuardPolicy(
    double tailLatencyWeight,
    double evictionsWeight,
    double throughputWeight,
    double evictionsPerHour) {
  /** Tail latency first, evictions second: payouts may finish late. */
  public static final GuardPolicy VATULELE = new GuardPolicy(1, 0.5, 0.2, 12);

  /**
   * Evictions weigh nearly as much as tail latency: an evicted camera watch can miss an event in
   * the sky.
   */
  public static final GuardPolicy KITAMIZORA = new GuardPolicy(1, 0.9, 0.2, 4);

  /** Policy where no configuration sets another. */
  public static final GuardPolicy DEFAULT = VATULELE;

  private static final double EVICTION_STEP = 0.5;
  private static final double MEAN_RECOVERY_MILLIS = 2_000;

  /** Checks the components. */
  public GuardPolicy {
    checkArgument(tailLatencyWeight > 0, "tailLatencyWeight is not positive");
    checkArgument(evictionsWeight >= 0, "evictionsWeight is negative: %s", evictionsWeight);
    checkArgument(throughputWeight >= 0, "throughputWeight is negative: %s", throughputWeight);
    checkArgument(evictionsPerHour >= 0, "evictionsPerHour is negative: %s", evictionsPerHour);
  }

  /**
   * Returns the pressure (tail latency over goal) above which an eviction is worthwhile although
   * all tasks are throttled: 1.25 where evictions weigh half as much as latency, nearly 1.5 where
   * they weigh nearly as much.
   */
  public double evictionPressure() {
    return 1 + EVICTION_STEP * evictionsWeight / tailLatencyWeight;
  }

  /**
   * Returns how long the service must have recovered before a throttled task gets a higher share,
   * in milliseconds: 2 s where throughput weighs a fifth of latency, longer the less it weighs, at
   * most four times as long.
   */
  public long recoveryMillis() {
    double relative = 0.2 * tailLatencyWeight / Math.max(throughputWeight, 0.05);
    return (long) (MEAN_RECOVERY_MILLIS * Math.max(0.25, Math.min(4, relative)));
  }
}
