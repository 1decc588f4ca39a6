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
 * #GROWTH}.
 *
 * <p>All processes find a snapshot due at about the same time; if each wrote one, the log would
 * receive as many copies of the state as there are processes. Each process waits for a random time
 * and defers to any other that has started. If that one ends halfway, the next process writes.
 * Times are in nanoseconds. Confined to one thread.
 */
final class SnapshotSchedule {
  /** Number of records after which a stream gets its first snapshot. */
  static final long FIRST_RECORDS = 16;

  /**
   * Delay after the first record before a shorter stream gets its first snapshot, in milliseconds.
   */
  static final long FIRST_MILLIS = 5_000;

  /** A new snapshot is due when the stream has grown by this factor since the last one. */
  static final long GROWTH = 8;

  private final SnapshotSettings settings;
  private final RandomGenerator random;
  private long lastThrough = -1;
  private long lastSeenAt;
  private long writeAt = Long.MAX_VALUE;
  private long heldUntil = Long.MIN_VALUE;
  private long firstSeenAt = Long.MAX_VALUE;

  SnapshotSchedule(SnapshotSettings settings, RandomGenerator random, long now) {
    this.settings = requireNonNull(settings, "settings");
    this.random = requireNonNull(random, "random");
    this.lastSeenAt = now;
  }

  /** Records a complete snapshot in the stream. */
  void saw(long through, long now) {
    lastThrough = Math.max(lastThrough, through);
    lastSeenAt = now;
    writeAt = Long.MAX_VALUE;
  }

  /** Records that the history of the stream was replaced; the new one holds no snapshot yet. */
  void historyReplaced(long now) {
    lastThrough = -1;
    lastSeenAt = now;
    writeAt = Long.MAX_VALUE;
    heldUntil = Long.MIN_VALUE;
    firstSeenAt = Long.MAX_VALUE;
  }

  /** Records a part of any snapshot. */
  void sawPart(long now) {
    heldUntil = now + TimeUnit.MILLISECONDS.toNanos(settings.holdMillis());
  }

  /**
   * Returns whether this process writes a snapshot now; if so, draws a new time for the next one.
   */
  boolean shouldWrite(StreamStatus status, long now) {
    if (!status.offering() && !isWhole(status)) {
      // Keeps the drawn time: a busy stream often has unread records, and drawing again each time
      // would delay the first snapshot until the records that it covers have expired.
      return false;
    }
    if (!status.offering() && !isDue(status, now)) {
      writeAt = Long.MAX_VALUE;
      return false;
    }
    if (writeAt == Long.MAX_VALUE) {
      writeAt = drawn(now);
    }
    if (now < writeAt || now < heldUntil) {
      return false;
    }
    writeAt = drawn(now);
    return true;
  }

  private long drawn(long now) {
    return now + random.nextLong(TimeUnit.MILLISECONDS.toNanos(settings.spreadMillis()));
  }

  /**
   * Returns whether the state includes all records. A state without the records of a newer version
   * differs from that of newer readers.
   */
  private static boolean isWhole(StreamStatus status) {
    return status.caughtUp() && status.newerVersions() == 0 && status.applied() > 0;
  }

  private boolean isDue(StreamStatus status, long now) {
    long recordsSince = status.applied() - Math.max(lastThrough, 0);
    boolean enoughRecords = recordsSince >= settings.everyRecords();
    boolean tooOld = now - lastSeenAt >= TimeUnit.MILLISECONDS.toNanos(settings.everyMillis());
    long middle = status.firstOffset() + (status.applied() - status.firstOffset()) / 2;
    boolean expiring = status.firstOffset() > 0 && lastThrough < middle;
    return enoughRecords || tooOld || expiring || isYoung(status.applied(), now);
  }

  /**
   * Returns whether a short stream needs a snapshot. Without it the state would be lost if the
   * first records expire and all processes end before the first snapshot. A job of eight tasks is
   * about 13 records, so the number of records alone does not suffice.
   */
  private boolean isYoung(long applied, long now) {
    if (lastThrough >= 0) {
      return applied >= GROWTH * Math.max(lastThrough, 1);
    }
    firstSeenAt = Math.min(firstSeenAt, now);
    return applied >= FIRST_RECORDS
        || now - firstSeenAt >= TimeUnit.MILLISECONDS.toNanos(FIRST_MILLIS);
  }
}
