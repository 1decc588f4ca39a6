package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a {@link LogAppender} appends. Immutable.
 *
 * @param maxPending how many entries it holds at the most, from being offered to being read back
 * @param maxPendingBytes how many bytes they may have together
 * @param maxBatchEntries how many entries go into one platform record
 * @param maxBatchBytes how many bytes a platform record may have
 * @param minIntervalMillis the least time between two appends, in milliseconds; entries that come
 *     meanwhile share the next one
 * @param entryTimeoutMillis how long an entry is kept whose caller names no deadline, in
 *     milliseconds
 * @param initialBackoffMillis the span of the first wait during an outage, in milliseconds
 * @param maxBackoffMillis the longest such span, in milliseconds
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
    checkArgument(maxPending > 0, "maxOpen is not positive: %s", maxPending);
    checkArgument(maxBatchEntries > 0, "maxBatch is not positive: %s", maxBatchEntries);
    checkArgument(maxPendingBytes >= maxBatchBytes, "maxOpenBytes below maxBatchBytes");
    checkArgument(minIntervalMillis >= 0, "paceMillis is negative: %s", minIntervalMillis);
    checkArgument(entryTimeoutMillis > 0, "keepMillis is not positive: %s", entryTimeoutMillis);
  }

  /**
   * Returns the usual settings. The pace of 20 ms bounds an entry to 50 appends a second and
   * stream, so that nine entries stay within "several hundred a second" whatever they are asked
   * for.
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

  /** Returns these settings with another least time between two appends. */
  public AppendSettings withMinIntervalMillis(long newPaceMillis) {
    return new AppendSettings(
        maxPending,
        maxPendingBytes,
        maxBatchEntries,
        maxBatchBytes,
        newPaceMillis,
        entryTimeoutMillis,
        initialBackoffMillis,
        maxBackoffMillis);
  }

  /** Returns these settings with another bound on the entries held. */
  public AppendSettings withMaxPending(int newMaxOpen) {
    return new AppendSettings(
        newMaxOpen,
        maxPendingBytes,
        maxBatchEntries,
        maxBatchBytes,
        minIntervalMillis,
        entryTimeoutMillis,
        initialBackoffMillis,
        maxBackoffMillis);
  }
}
