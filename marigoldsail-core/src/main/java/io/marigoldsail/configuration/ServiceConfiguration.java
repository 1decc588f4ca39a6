package io.marigoldsail.configuration;

/**
 * Configuration of one service.
 *
 * <p>Immutable.
 *
 * @param targetDelayMillis the desired queueing delay in an entry, in milliseconds
 * @param defaultDeadlineMillis the deadline of a request that sets none, in milliseconds
 * @param maxWaiting maximum number of requests queued in one entry
 * @param targetDetectsRepeats whether the target itself detects a repeated idempotency key
 * @param tailLatencyGoalMillis the 99th percentile latency that the guard protects, in milliseconds
 */
public record ServiceConfiguration(
    long targetDelayMillis,
    long defaultDeadlineMillis,
    int maxWaiting,
    boolean targetDetectsRepeats,
    long tailLatencyGoalMillis) {
  /** The defaults of a service, also for keys that no file sets. */
  public static final ServiceConfiguration DEFAULT =
      new ServiceConfiguration(20, 5_000, 10_000, false, 100);
}
