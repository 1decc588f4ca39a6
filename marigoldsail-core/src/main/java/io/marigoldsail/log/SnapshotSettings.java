package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When snapshots are written. Immutable.
 *
 * @param maxRecordsBetween how many records may follow the last snapshot
 * @param maxAgeMillis how old the last snapshot may be, in milliseconds; well within the retention
 * @param jitterMillis the span over which the processes that find one due draw their moment, in
 *     milliseconds
 * @param suppressionMillis how long another process's part keeps this one from writing, in
 *     milliseconds
 */
public record SnapshotSettings(
    long maxRecordsBetween, long maxAgeMillis, long jitterMillis, long suppressionMillis) {
  private static final long DEFAULT_MAX_RECORDS_BETWEEN = 20_000;
  private static final long DEFAULT_MAX_AGE_MILLIS = 600_000;
  private static final long DEFAULT_JITTER_MILLIS = 4_000;
  private static final long DEFAULT_SUPPRESSION_MILLIS = 2_000;

  /** Checks the components. */
  public SnapshotSettings {
    checkArgument(maxRecordsBetween > 0, "everyRecords is not positive: %s", maxRecordsBetween);
    checkArgument(maxAgeMillis > 0, "everyMillis is not positive: %s", maxAgeMillis);
    checkArgument(jitterMillis > 0, "spreadMillis is not positive: %s", jitterMillis);
    checkArgument(suppressionMillis >= 0, "holdMillis is negative: %s", suppressionMillis);
  }

  /** Returns the usual settings, for a retention of an hour or more. */
  public static SnapshotSettings defaults() {
    return new SnapshotSettings(
        DEFAULT_MAX_RECORDS_BETWEEN,
        DEFAULT_MAX_AGE_MILLIS,
        DEFAULT_JITTER_MILLIS,
        DEFAULT_SUPPRESSION_MILLIS);
  }
}
