package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when this process writes a snapshot, so that few of many processes write one and always
 * well within retention.
 *
 * <p>A snapshot is due when many records follow the last one, when the last one is old, or when it
 * is in the older half of the retained records. The retention time is unknown until something has
 * expired, which is too late for the first records. A new stream therefore gets its first snapshot
 * after a few records or seconds, and another one whenever it has grown by the factor {@link
 * #GROWTH_FACTOR}.
 *
 * <p>All processes find a snapshot due at about the same time; if each wrote one, the log would
 * receive as many copies of the state as there are processes. Each process waits for a random time
 * and defers to any other that has started. If that one ends halfway, the next process writes.
 * Times are in nanoseconds. Confined to one thread.
 */
final class SnapshotSchedule {
  /** Number of records after which a stream gets its first snapshot. */
  static final long FIRST_SNAPSHOT_RECORDS = 16;

  /**
   * Delay after the first record before a shorter stream gets its first snapshot, in milliseconds.
   */
  static final long FIRST_SNAPSHOT_MILLIS = 5_000;

  /** A new snapshot is due when the stream has grown by this factor since the last one. */
  static final long GROWTH_FACTOR = 8;

  private final SnapshotSettings settings;
  private final RandomGenerator random;
  private long lastSnapshotOffset = -1;
  private long lastSnapshotAt;
  private long writeAt = Long.MAX_VALUE;
  private long suppressedUntil = Long.MIN_VALUE;
  private long firstRecordAt = Long.MAX_VALUE;

  SnapshotSchedule(SnapshotSettings settings, RandomGenerator random, long now) {
    this.settings = requireNonNull(settings, "settings");
    this.random = requireNonNull(random, "random");
    this.lastSnapshotAt = now;
  }

  /** Records a complete snapshot in the stream. */
  void recordSnapshot(long nextOffset, long now) {
    lastSnapshotOffset = Math.max(lastSnapshotOffset, nextOffset);
    lastSnapshotAt = now;
    writeAt = Long.MAX_VALUE;
  }

  /** Records that the history of the stream was replaced; the new one holds no snapshot yet. */
  void historyReplaced(long now) {
    lastSnapshotOffset = -1;
    lastSnapshotAt = now;
    writeAt = Long.MAX_VALUE;
    suppressedUntil = Long.MIN_VALUE;
    firstRecordAt = Long.MAX_VALUE;
  }

  /** Records a part of any snapshot. */
  void recordSnapshotPart(long now) {
    suppressedUntil = now + TimeUnit.MILLISECONDS.toNanos(settings.suppressionMillis());
  }

  /**
   * Returns whether this process writes a snapshot now; if so, draws a new time for the next one.
   */
  boolean shouldWrite(StreamStatus status, long now) {
    if (!status.offeringSnapshot() && !isComplete(status)) {
      // Keeps the drawn time: a busy stream often has unread records, and drawing again each time
      // would delay the first snapshot until the records that it covers have expired.
      return false;
    }
    if (!status.offeringSnapshot() && !isDue(status, now)) {
      writeAt = Long.MAX_VALUE;
      return false;
    }
    if (writeAt == Long.MAX_VALUE) {
      writeAt = randomWriteTime(now);
    }
    if (now < writeAt || now < suppressedUntil) {
      return false;
    }
    writeAt = randomWriteTime(now);
    return true;
  }

  private long randomWriteTime(long now) {
    return now + random.nextLong(TimeUnit.MILLISECONDS.toNanos(settings.jitterMillis()));
  }

  /**
   * Returns whether the state includes all records. A state without the records of a newer version
   * differs from that of newer readers.
   */
  private static boolean isComplete(StreamStatus status) {
    return status.caughtUp() && status.newerVersionCount() == 0 && status.appliedOffset() > 0;
  }

  private boolean isDue(StreamStatus status, long now) {
    long recordsSince = status.appliedOffset() - Math.max(lastSnapshotOffset, 0);
    boolean enoughRecords = recordsSince >= settings.maxRecordsBetween();
    boolean tooOld = now - lastSnapshotAt >= TimeUnit.MILLISECONDS.toNanos(settings.maxAgeMillis());
    long middle = status.firstOffset() + (status.appliedOffset() - status.firstOffset()) / 2;
    boolean expiring = status.firstOffset() > 0 && lastSnapshotOffset < middle;
    return enoughRecords || tooOld || expiring || isEarlySnapshotDue(status.appliedOffset(), now);
  }

  /**
   * Returns whether a short stream needs a snapshot. Without it the state would be lost if the
   * first records expire and all processes end before the first snapshot. A job of eight tasks is
   * about 13 records, so the number of records alone does not suffice.
   */
  private boolean isEarlySnapshotDue(long appliedOffset, long now) {
    if (lastSnapshotOffset >= 0) {
      return appliedOffset >= GROWTH_FACTOR * Math.max(lastSnapshotOffset, 1);
    }
    firstRecordAt = Math.min(firstRecordAt, now);
    return appliedOffset >= FIRST_SNAPSHOT_RECORDS
        || now - firstRecordAt >= TimeUnit.MILLISECONDS.toNanos(FIRST_SNAPSHOT_MILLIS);
  }
}
