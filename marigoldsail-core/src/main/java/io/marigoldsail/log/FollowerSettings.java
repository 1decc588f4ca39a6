package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits and timing of a {@link StreamFollower}. Immutable.
 *
 * @param pageRecords maximum number of records in one read
 * @param waitMillis how long a read waits for a record, in milliseconds; also bounds the time until
 *     an append whose response was lost is known not to be stored
 * @param minIntervalMillis minimum interval between the starts of two reads, in milliseconds;
 *     records appended meanwhile share the next read
 * @param initialBackoffMillis initial backoff during an outage, in milliseconds
 * @param maxBackoffMillis maximum backoff, in milliseconds
 * @param startEmptyAfterExpiry whether to start with an empty state if the beginning of the stream
 *     has expired; for one process, when an operator knows that all state is lost
 */
public record FollowerSettings(
    int pageRecords,
    long waitMillis,
    long minIntervalMillis,
    long initialBackoffMillis,
    long maxBackoffMillis,
    boolean startEmptyAfterExpiry) {
  private static final int DEFAULT_PAGE_RECORDS = 200;
  private static final long DEFAULT_WAIT_MILLIS = 1_000;
  private static final long DEFAULT_MIN_INTERVAL_MILLIS = 20;
  private static final long DEFAULT_INITIAL_BACKOFF_MILLIS = 50;
  private static final long DEFAULT_MAX_BACKOFF_MILLIS = 1_000;

  /** Checks the components. */
  public FollowerSettings {
    checkArgument(pageRecords > 0, "pageRecords is not positive: %s", pageRecords);
    checkArgument(waitMillis >= 0, "waitMillis is negative: %s", waitMillis);
    checkArgument(minIntervalMillis >= 0, "minIntervalMillis is negative: %s", minIntervalMillis);
    checkArgument(
        initialBackoffMillis > 0, "initialBackoffMillis is not positive: %s", initialBackoffMillis);
    checkArgument(
        maxBackoffMillis >= initialBackoffMillis, "maxBackoffMillis is below initialBackoffMillis");
  }

  /**
   * Returns the default settings. All readers notice the end of an outage within a second, spread
   * over half of it. Without the minimum interval every record of a busy stream would cost each
   * reader a request; a record of an idle stream is still read at once.
   */
  public static FollowerSettings defaults() {
    return new FollowerSettings(
        DEFAULT_PAGE_RECORDS,
        DEFAULT_WAIT_MILLIS,
        DEFAULT_MIN_INTERVAL_MILLIS,
        DEFAULT_INITIAL_BACKOFF_MILLIS,
        DEFAULT_MAX_BACKOFF_MILLIS,
        false);
  }
}
