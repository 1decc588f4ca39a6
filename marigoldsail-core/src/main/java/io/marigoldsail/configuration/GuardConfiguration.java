package io.marigoldsail.configuration;

/**
 * Weights and limits with which the guard of a VM balances services against batch tasks.
 *
 * <p>Immutable. Only the ratios of the weights matter.
 *
 * @param tailLatencyWeight the weight of the services' tail latency
 * @param evictionsWeight the weight of an eviction
 * @param throughputWeight the weight of batch throughput
 * @param evictionsPerHour maximum number of evictions on one VM in an hour
 */
public record GuardConfiguration(
    double tailLatencyWeight,
    double evictionsWeight,
    double throughputWeight,
    int evictionsPerHour) {
  /** The defaults for keys that no file sets. */
  public static final GuardConfiguration DEFAULT = new GuardConfiguration(10, 5, 2, 12);
}
