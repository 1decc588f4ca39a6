package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link LogAppender} appends. Immutable.
 *
 * @param maxOpen how many entries it holds at the most, from being offered to being read back
 * @param maxOpenBytes how many bytes they may have together
 * @param maxBatch how many entries go into one platform record
 * @param maxBatchBytes how many bytes a platform record may have
 * @param paceMillis the least time between two appends, in milliseconds; entries that come
 *     meanwhile share the next one
 * @param keepMillis how long an entry is kept whose caller names no deadline, in milliseconds
 * @param retryFirstMillis the span of the first wait during an outage, in milliseconds
 * @param retryLimitMillis the longest such span, in milliseconds
 */
public record AppendSettings(
    int maxOpen,
    int maxOpenBytes,
    int maxBatch,
    int maxBatchBytes,
    long paceMillis,
    long keepMillis,
    long retryFirstMillis,
    long retryLimitMillis) {
  private static final int USUAL_OPEN = 10_000;
  private static final int USUAL_OPEN_BYTES = 8 << 20;
  private static final int USUAL_BATCH = 500;
  private static final int USUAL_BATCH_BYTES = 512 << 10;
  private static final long USUAL_PACE_MILLIS = 20;
  private static final long USUAL_KEEP_MILLIS = 10_000;
  private static final long USUAL_RETRY_FIRST_MILLIS = 50;
  private static final long USUAL_RETRY_LIMIT_MILLIS = 1_000;

  /** Checks the components. */
  public AppendSettings {
    checkArgument(maxOpen > 0, "maxOpen is not positive: %s", maxOpen);
    checkArgument(maxBatch > 0, "maxBatch is not positive: %s", maxBatch);
    checkArgument(maxOpenBytes >= maxBatchBytes, "maxOpenBytes below maxBatchBytes");
    checkArgument(paceMillis >= 0, "paceMillis is negative: %s", paceMillis);
    checkArgument(keepMillis > 0, "keepMillis is not positive: %s", keepMillis);
  }

  /**
   * Returns the usual settings. The pace of 20 ms bounds an entry to 50 appends a second and
   * stream, so that nine entries stay within "several hundred a second" whatever they are asked
   * for.
   */
  public static AppendSettings usual() {
    return new AppendSettings(
        USUAL_OPEN,
        USUAL_OPEN_BYTES,
        USUAL_BATCH,
        USUAL_BATCH_BYTES,
        USUAL_PACE_MILLIS,
        USUAL_KEEP_MILLIS,
        USUAL_RETRY_FIRST_MILLIS,
        USUAL_RETRY_LIMIT_MILLIS);
  }

  /** Returns these settings with another least time between two appends. */
  public AppendSettings withPaceMillis(long newPaceMillis) {
    return new AppendSettings(
        maxOpen,
        maxOpenBytes,
        maxBatch,
        maxBatchBytes,
        newPaceMillis,
        keepMillis,
        retryFirstMillis,
        retryLimitMillis);
  }

  /** Returns these settings with another bound on the entries held. */
  public AppendSettings withMaxOpen(int newMaxOpen) {
    return new AppendSettings(
        newMaxOpen,
        maxOpenBytes,
        maxBatch,
        maxBatchBytes,
        paceMillis,
        keepMillis,
        retryFirstMillis,
        retryLimitMillis);
  }
}
