package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link StreamFollower} reads. Immutable.
 *
 * @param pageRecords how many records it asks for at once
 * @param waitMillis how long a read waits for a record, in milliseconds; also how long it may take
 *     to see that an append whose answer was lost did not happen
 * @param minIntervalMillis the least time between the beginnings of two reads, in milliseconds;
 *     records that come meanwhile share the next one
 * @param initialBackoffMillis the span of the first wait during an outage, in milliseconds
 * @param maxBackoffMillis the longest such span, in milliseconds
 * @param startEmptyAfterExpiry whether to begin with an empty state if the stream's beginning has
 *     expired; for one process, when an operator knows that all state is lost
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
    checkArgument(minIntervalMillis >= 0, "paceMillis is negative: %s", minIntervalMillis);
    checkArgument(
        initialBackoffMillis > 0, "retryFirstMillis is not positive: %s", initialBackoffMillis);
    checkArgument(
        maxBackoffMillis >= initialBackoffMillis, "retryLimitMillis below retryFirstMillis");
  }

  /**
   * Returns the usual settings: an outage's end is noticed within a second by all, spread over half
   * of it. Without the pace each record of a busy stream costs every reader a request of its own; a
   * record of a quiet stream is still seen at once.
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
