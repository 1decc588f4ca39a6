package io.marigoldsail.configuration;

/**
 * How the guard of a VM weighs services against batch tasks.
 *
 * <p>Immutable. Weights count in relation to each other.
 *
 * @param tailLatencyWeight the weight of the services' tail latency
 * @param evictionsWeight the weight of an eviction
 * @param throughputWeight the weight of batch throughput
 * @param evictionsPerHour how many tasks one VM may evict in an hour
 */
public record GuardConfiguration(
    double tailLatencyWeight,
    double evictionsWeight,
    double throughputWeight,
    int evictionsPerHour) {
  /** What holds where no file says otherwise. */
  public static final GuardConfiguration DEFAULT = new GuardConfiguration(10, 3, 1, 6);
}
