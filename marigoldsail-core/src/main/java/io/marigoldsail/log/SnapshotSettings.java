package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When snapshots are written. Immutable.
 *
 * @param everyRecords how many records may follow the last snapshot
 * @param everyMillis how old the last snapshot may be, in milliseconds; well within the retention
 * @param spreadMillis the span over which the processes that find one due draw their moment, in
 *     milliseconds
 * @param holdMillis how long another process's part keeps this one from writing, in milliseconds
 */
public record SnapshotSettings(
    long everyRecords, long everyMillis, long spreadMillis, long holdMillis) {
  private static final long USUAL_RECORDS = 20_000;
  private static final long USUAL_MILLIS = 600_000;
  private static final long USUAL_SPREAD_MILLIS = 4_000;
  private static final long USUAL_HOLD_MILLIS = 2_000;

  /** Checks the components. */
  public SnapshotSettings {
    checkArgument(everyRecords > 0, "everyRecords is not positive: %s", everyRecords);
    checkArgument(everyMillis > 0, "everyMillis is not positive: %s", everyMillis);
    checkArgument(spreadMillis > 0, "spreadMillis is not positive: %s", spreadMillis);
    checkArgument(holdMillis >= 0, "holdMillis is negative: %s", holdMillis);
  }

  /** Returns the usual settings, for a retention of an hour or more. */
  public static SnapshotSettings usual() {
    return new SnapshotSettings(
        USUAL_RECORDS, USUAL_MILLIS, USUAL_SPREAD_MILLIS, USUAL_HOLD_MILLIS);
  }
}
