package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits and timing of a {@link StreamFollower}. Immutable.
 *
 * @param pageRecords maximum number of records in one read
 * @param waitMillis how long a read waits for a record, in milliseconds; also bounds the time until
 *     an append whose response was lost is known not to be stored
 * @param paceMillis minimum interval between the starts of two reads, in milliseconds; records
 *     appended meanwhile share the next read
 * @param retryFirstMillis initial backoff during an outage, in milliseconds
 * @param retryLimitMillis maximum backoff, in milliseconds
 * @param beginAnew whether to start with an empty state if the beginning of the stream has expired;
 *     for one process, when an operator knows that all state is lost
 */
public record FollowerSettings(
    int pageRecords,
    long waitMillis,
    long paceMillis,
    long retryFirstMillis,
    long retryLimitMillis,
    boolean beginAnew) {
  private static final int USUAL_PAGE = 200;
  private static final long USUAL_WAIT_MILLIS = 1_000;
  private static final long USUAL_PACE_MILLIS = 20;
  private static final long USUAL_RETRY_FIRST_MILLIS = 50;
  private static final long USUAL_RETRY_LIMIT_MILLIS = 1_000;

  /** Checks the components. */
  public FollowerSettings {
    checkArgument(pageRecords > 0, "pageRecords is not positive: %s", pageRecords);
    checkArgument(waitMillis >= 0, "waitMillis is negative: %s", waitMillis);
    checkArgument(paceMillis >= 0, "minIntervalMillis is negative: %s", paceMillis);
    checkArgument(retryFirstMillis > 0, "initialBackoffMillis is not positive: %s", retryFirstMillis);
    checkArgument(retryLimitMillis >= retryFirstMillis, "maxBackoffMillis is below initialBackoffMillis");
  }

  /**
   * Returns the default settings. All readers notice the end of an outage within a second, spread
   * over half of it. Without the minimum interval every record of a busy stream would cost each
   * reader a request; a record of a quiet stream is still read at once.
   */
  public static FollowerSettings usual() {
    return new FollowerSettings(
        USUAL_PAGE,
        USUAL_WAIT_MILLIS,
        USUAL_PACE_MILLIS,
        USUAL_RETRY_FIRST_MILLIS,
        USUAL_RETRY_LIMIT_MILLIS,
        false);
  }
}
