package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When snapshots are written. Immutable.
 *
 * @param maxRecordsBetween maximum number of records after the last snapshot
 * @param maxAgeMillis maximum age of the last snapshot, in milliseconds; well below the retention
 * @param jitterMillis range of the random delay before a process writes a due snapshot, in
 *     milliseconds
 * @param suppressionMillis how long a part of another process's snapshot keeps this process from
 *     writing, in milliseconds
 */
public record SnapshotSettings(
    long maxRecordsBetween, long maxAgeMillis, long jitterMillis, long suppressionMillis) {
  private static final long DEFAULT_MAX_RECORDS_BETWEEN = 20_000;
  private static final long DEFAULT_MAX_AGE_MILLIS = 600_000;
  private static final long DEFAULT_JITTER_MILLIS = 4_000;
  private static final long DEFAULT_SUPPRESSION_MILLIS = 2_000;

  /** Checks the components. */
  public SnapshotSettings {
    checkArgument(
        maxRecordsBetween > 0, "maxRecordsBetween is not positive: %s", maxRecordsBetween);
    checkArgument(maxAgeMillis > 0, "maxAgeMillis is not positive: %s", maxAgeMillis);
    checkArgument(jitterMillis > 0, "jitterMillis is not positive: %s", jitterMillis);
    checkArgument(suppressionMillis >= 0, "suppressionMillis is negative: %s", suppressionMillis);
  }

  /** Returns the default settings, for a retention of an hour or more. */
  public static SnapshotSettings defaults() {
    return new SnapshotSettings(
        DEFAULT_MAX_RECORDS_BETWEEN,
        DEFAULT_MAX_AGE_MILLIS,
        DEFAULT_JITTER_MILLIS,
        DEFAULT_SUPPRESSION_MILLIS);
  }
}
