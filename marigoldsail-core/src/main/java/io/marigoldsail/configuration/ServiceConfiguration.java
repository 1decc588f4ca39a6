package io.marigoldsail.configuration;

/**
 * What is configured of one service.
 *
 * <p>Immutable.
 *
 * @param targetDelayMillis the waiting time in an entry that is aimed at, in milliseconds
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds
 * @param maxWaiting how many requests may wait in one entry
 * @param targetDetectsRepeats whether the target itself recognises a repeated idempotency key
 * @param tailLatencyGoalMillis the 99th percentile that the guard defends, in milliseconds
 */
public record ServiceConfiguration(
    long targetDelayMillis,
    long defaultDeadlineMillis,
    int maxWaiting,
    boolean targetDetectsRepeats,
    long tailLatencyGoalMillis) {
  /** What holds for a service, or a key of it, that no file names. */
  public static final ServiceConfiguration DEFAULT =
      new ServiceConfiguration(20, 5_000, 10_000, false, 100);
}
