package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link StreamFollower} reads. Immutable.
 *
 * @param pageRecords how many records it asks for at once
 * @param waitMillis how long a read waits for a record, in milliseconds; also how long it may take
 *     to see that an append whose answer was lost did not happen
 * @param paceMillis the least time between the beginnings of two reads, in milliseconds; records
 *     that come meanwhile share the next one
 * @param retryFirstMillis the span of the first wait during an outage, in milliseconds
 * @param retryLimitMillis the longest such span, in milliseconds
 * @param beginAnew whether to begin with an empty state if the stream's beginning has expired; for
 *     one process, when an operator knows that all state is lost
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
    checkArgument(paceMillis >= 0, "paceMillis is negative: %s", paceMillis);
    checkArgument(retryFirstMillis > 0, "retryFirstMillis is not positive: %s", retryFirstMillis);
    checkArgument(retryLimitMillis >= retryFirstMillis, "retryLimitMillis below retryFirstMillis");
  }

  /**
   * Returns the usual settings: an outage's end is noticed within a second by all, spread over half
   * of it. Without the pace each record of a busy stream costs every reader a request of its own; a
   * record of a quiet stream is still seen at once.
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
