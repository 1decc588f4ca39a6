package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when this process writes a snapshot, so that one of many does, well within retention.
 *
 * <p>A snapshot is due when many records have come since the last one, when that one is old, or
 * when it stands in the older half of what retention has left. How long retention is shows only
 * once something has expired, which is too late for what was written first: so a young stream gets
 * its first snapshot after some records or some seconds, and another whenever it has grown by the
 * factor {@link #GROWTH_FACTOR}. Every process finds that out at about the same moment; if each
 * wrote at once, the log would take as many copies of the state as there are processes. So each
 * draws a moment within a span, and gives way to any that began before; if that one dies halfway,
 * the next one's moment comes. Knows neither thread nor clock; confined to one thread.
 */
final class SnapshotSchedule {
  /** Records after which a stream without a snapshot gets its first. */
  static final long FIRST_SNAPSHOT_RECORDS = 16;

  /** How long after its first record a stream with fewer gets its first, in milliseconds. */
  static final long FIRST_SNAPSHOT_MILLIS = 5_000;

  /** A stream this many times as long as what its last snapshot covers gets another one. */
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

  /** Tells of a complete snapshot in the stream. */
  void recordSnapshot(long through, long now) {
    lastSnapshotOffset = Math.max(lastSnapshotOffset, through);
    lastSnapshotAt = now;
    writeAt = Long.MAX_VALUE;
  }

  /** Tells that the stream is another one, which holds no snapshot yet. */
  void historyReplaced(long now) {
    lastSnapshotOffset = -1;
    lastSnapshotAt = now;
    writeAt = Long.MAX_VALUE;
    suppressedUntil = Long.MIN_VALUE;
    firstRecordAt = Long.MAX_VALUE;
  }

  /** Tells of a part, of whichever snapshot. */
  void recordSnapshotPart(long now) {
    suppressedUntil = now + TimeUnit.MILLISECONDS.toNanos(settings.suppressionMillis());
  }

  /** Returns whether this process writes one now; if so, the next one is at another moment. */
  boolean shouldWrite(StreamStatus status, long now) {
    if (!status.offeringSnapshot() && !isComplete(status)) {
      // The moment drawn stays: on a busy stream every few pages are read while more has come, and
      // drawing anew each time put off the first snapshot until all it was for had expired.
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

  /** A state that passed over records of a newer version is not what newer readers have. */
  private static boolean isComplete(StreamStatus status) {
    return status.caughtUp() && status.newerVersionCount() == 0 && status.appliedOffset() > 0;
  }

  private boolean isDue(StreamStatus status, long now) {
    long since = status.appliedOffset() - Math.max(lastSnapshotOffset, 0);
    boolean many = since >= settings.maxRecordsBetween();
    boolean old = now - lastSnapshotAt >= TimeUnit.MILLISECONDS.toNanos(settings.maxAgeMillis());
    long middle = status.firstOffset() + (status.appliedOffset() - status.firstOffset()) / 2;
    boolean expiring = status.firstOffset() > 0 && lastSnapshotOffset < middle;
    return many || old || expiring || isEarlySnapshotDue(status.appliedOffset(), now);
  }

  /**
   * Guards against a state that nobody can read any more: all processes die after the records of a
   * young stream expired and before its first snapshot. A job of eight tasks is some 13 records, so
   * their number alone does not tell.
   */
  private boolean isEarlySnapshotDue(long applied, long now) {
    if (lastSnapshotOffset >= 0) {
      return applied >= GROWTH_FACTOR * Math.max(lastSnapshotOffset, 1);
    }
    firstRecordAt = Math.min(firstRecordAt, now);
    return applied >= FIRST_SNAPSHOT_RECORDS
        || now - firstRecordAt >= TimeUnit.MILLISECONDS.toNanos(FIRST_SNAPSHOT_MILLIS);
  }
}
