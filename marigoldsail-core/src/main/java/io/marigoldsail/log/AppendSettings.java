package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits and timing of a {@link LogAppender}. Immutable.
 *
 * @param maxPending maximum number of entries that have been offered but not read back
 * @param maxPendingBytes maximum total size of these entries, in bytes
 * @param maxBatchEntries maximum number of entries in one platform record
 * @param maxBatchBytes maximum size of a platform record, in bytes
 * @param minIntervalMillis minimum interval between two appends, in milliseconds; entries offered
 *     meanwhile share the next append
 * @param entryTimeoutMillis timeout of an entry whose caller gives no deadline, in milliseconds
 * @param initialBackoffMillis initial backoff during an outage, in milliseconds
 * @param maxBackoffMillis maximum backoff, in milliseconds
 */
public record AppendSettings(
    int maxPending,
    int maxPendingBytes,
    int maxBatchEntries,
    int maxBatchBytes,
    long minIntervalMillis,
    long entryTimeoutMillis,
    long initialBackoffMillis,
    long maxBackoffMillis) {
  private static final int DEFAULT_MAX_PENDING = 10_000;
  private static final int DEFAULT_MAX_PENDING_BYTES = 8 << 20;
  private static final int DEFAULT_MAX_BATCH_ENTRIES = 500;
  private static final int DEFAULT_MAX_BATCH_BYTES = 512 << 10;
  private static final long DEFAULT_MIN_INTERVAL_MILLIS = 20;
  private static final long DEFAULT_ENTRY_TIMEOUT_MILLIS = 10_000;
  private static final long DEFAULT_INITIAL_BACKOFF_MILLIS = 50;
  private static final long DEFAULT_MAX_BACKOFF_MILLIS = 1_000;

  /** Checks the components. */
  public AppendSettings {
    checkArgument(maxPending > 0, "maxPending is not positive: %s", maxPending);
    checkArgument(maxBatchEntries > 0, "maxBatchEntries is not positive: %s", maxBatchEntries);
    checkArgument(maxPendingBytes >= maxBatchBytes, "maxPendingBytes is below maxBatchBytes");
    checkArgument(minIntervalMillis >= 0, "minIntervalMillis is negative: %s", minIntervalMillis);
    checkArgument(
        entryTimeoutMillis > 0, "entryTimeoutMillis is not positive: %s", entryTimeoutMillis);
  }

  /**
   * Returns the default settings. The interval of 20 ms limits an entry to 50 appends a second per
   * stream, so that nine entries stay within the several hundred appends a second that the log
   * takes.
   */
  public static AppendSettings defaults() {
    return new AppendSettings(
        DEFAULT_MAX_PENDING,
        DEFAULT_MAX_PENDING_BYTES,
        DEFAULT_MAX_BATCH_ENTRIES,
        DEFAULT_MAX_BATCH_BYTES,
        DEFAULT_MIN_INTERVAL_MILLIS,
        DEFAULT_ENTRY_TIMEOUT_MILLIS,
        DEFAULT_INITIAL_BACKOFF_MILLIS,
        DEFAULT_MAX_BACKOFF_MILLIS);
  }

  /** Returns these settings with another minimum interval between two appends. */
  public AppendSettings withMinIntervalMillis(long newMinIntervalMillis) {
    return new AppendSettings(
        maxPending,
        maxPendingBytes,
        maxBatchEntries,
        maxBatchBytes,
        newMinIntervalMillis,
        entryTimeoutMillis,
        initialBackoffMillis,
        maxBackoffMillis);
  }

  /** Returns these settings with another limit on pending entries. */
  public AppendSettings withMaxPending(int newMaxPending) {
    return new AppendSettings(
        newMaxPending,
        maxPendingBytes,
        maxBatchEntries,
        maxBatchBytes,
        minIntervalMillis,
        entryTimeoutMillis,
        initialBackoffMillis,
        maxBackoffMillis);
  }
}
