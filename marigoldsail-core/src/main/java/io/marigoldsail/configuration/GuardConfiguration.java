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
  /** What holds where no file says otherwise: the weights that the guard was measured with. */
  public static final GuardConfiguration DEFAULT = new GuardConfiguration(10, 5, 2, 12);
}
