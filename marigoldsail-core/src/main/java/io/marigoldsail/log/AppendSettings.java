package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits and timing of a {@link LogAppender}. Immutable.
 *
 * @param maxOpen maximum number of entries that have been offered but not read back
 * @param maxOpenBytes maximum total size of these entries, in bytes
 * @param maxBatch maximum number of entries in one platform record
 * @param maxBatchBytes maximum size of a platform record, in bytes
 * @param paceMillis minimum interval between two appends, in milliseconds; entries offered
 *     meanwhile share the next append
 * @param keepMillis timeout of an entry whose caller gives no deadline, in milliseconds
 * @param retryFirstMillis initial backoff during an outage, in milliseconds
 * @param retryLimitMillis maximum backoff, in milliseconds
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
    checkArgument(maxOpen > 0, "maxPending is not positive: %s", maxOpen);
    checkArgument(maxBatch > 0, "maxBatchEntries is not positive: %s", maxBatch);
    checkArgument(maxOpenBytes >= maxBatchBytes, "maxPendingBytes is below maxBatchBytes");
    checkArgument(paceMillis >= 0, "minIntervalMillis is negative: %s", paceMillis);
    checkArgument(keepMillis > 0, "entryTimeoutMillis is not positive: %s", keepMillis);
  }

  /**
   * Returns the default settings. The interval of 20 ms limits an entry to 50 appends a second per
   * stream, so that nine entries stay within the several hundred appends a second that the log
   * takes.
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

  /** Returns these settings with another minimum interval between two appends. */
  public AppendSettings withPaceMillis(long newMinIntervalMillis) {
    return new AppendSettings(
        maxOpen,
        maxOpenBytes,
        maxBatch,
        maxBatchBytes,
        newMinIntervalMillis,
        keepMillis,
        retryFirstMillis,
        retryLimitMillis);
  }

  /** Returns these settings with another limit on pending entries. */
  public AppendSettings withMaxOpen(int newMaxPending) {
    return new AppendSettings(
        newMaxPending,
        maxOpenBytes,
        maxBatch,
        maxBatchBytes,
        paceMillis,
        keepMillis,
        retryFirstMillis,
        retryLimitMillis);
  }
}
