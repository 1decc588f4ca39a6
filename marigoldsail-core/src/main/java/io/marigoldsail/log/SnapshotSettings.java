package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When snapshots are written. Immutable.
 *
 * @param everyRecords maximum number of records after the last snapshot
 * @param everyMillis maximum age of the last snapshot, in milliseconds; well below the retention
 * @param spreadMillis range of the random delay before a process writes a due snapshot, in
 *     milliseconds
 * @param holdMillis how long a part of another process's snapshot keeps this process from writing,
 *     in milliseconds
 */
public record SnapshotSettings(
    long everyRecords, long everyMillis, long spreadMillis, long holdMillis) {
  private static final long USUAL_RECORDS = 20_000;
  private static final long USUAL_MILLIS = 600_000;
  private static final long USUAL_SPREAD_MILLIS = 4_000;
  private static final long USUAL_HOLD_MILLIS = 2_000;

  /** Checks the components. */
  public SnapshotSettings {
    checkArgument(everyRecords > 0, "maxRecordsBetween is not positive: %s", everyRecords);
    checkArgument(everyMillis > 0, "maxAgeMillis is not positive: %s", everyMillis);
    checkArgument(spreadMillis > 0, "jitterMillis is not positive: %s", spreadMillis);
    checkArgument(holdMillis >= 0, "suppressionMillis is negative: %s", holdMillis);
  }

  /** Returns the default settings, for a retention of an hour or more. */
  public static SnapshotSettings usual() {
    return new SnapshotSettings(
        USUAL_RECORDS, USUAL_MILLIS, USUAL_SPREAD_MILLIS, USUAL_HOLD_MILLIS);
  }
}
