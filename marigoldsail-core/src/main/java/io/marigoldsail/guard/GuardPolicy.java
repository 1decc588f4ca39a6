package io.marigoldsail.guard;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the configuration of a site says about guarding.
 *
 * <p>Immutable.
 *
 * @param tailLatencyWeight how much a slow service weighs
 * @param evictionsWeight how much an eviction weighs
 * @param throughputWeight how much slowed batch work weighs
 * @param evictionsPerHour how many evictions one VM may make in an hour
 */
public record GuardPolicy(
    double tailLatencyWeight,
    double evictionsWeight,
    double throughputWeight,
    double evictionsPerHour) {
  /** Tail latency first, evictions second: payouts may finish late. */
  public static final GuardPolicy VATULELE = new GuardPolicy(1, 0.5, 0.2, 12);

  /** Evictions nearly as much as tail latency: an evicted camera watch can miss the sky. */
  public static final GuardPolicy KITAMIZORA = new GuardPolicy(1, 0.9, 0.2, 4);

  /** What holds where no configuration says otherwise. */
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
   * Returns the pressure (tail latency over goal) from which on an eviction is worth it although
   * all is throttled: the goal missed by a quarter where evictions weigh half as much as latency,
   * by nearly a half where they weigh nearly as much.
   */
  public double evictionPressure() {
    return 1 + EVICTION_STEP * evictionsWeight / tailLatencyWeight;
  }

  /**
   * Returns how long the service must be quiet before a throttled task gets more, in milliseconds:
   * 2 s where throughput weighs a fifth of latency; longer the less it weighs, at most four times.
   */
  public long recoveryMillis() {
    double relative = 0.2 * tailLatencyWeight / Math.max(throughputWeight, 0.05);
    return (long) (MEAN_RECOVERY_MILLIS * Math.max(0.25, Math.min(4, relative)));
  }
}
