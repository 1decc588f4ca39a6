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
 * factor {@link #GROWTH}. Every process finds that out at about the same moment; if each wrote at
 * once, the log would take as many copies of the state as there are processes. So each draws a
 * moment within a span, and gives way to any that began before; if that one dies halfway, the next
 * one's moment comes. Knows neither thread nor clock; confined to one thread.
 */
final class SnapshotSchedule {
  /** Records after which a stream without a snapshot gets its first. */
  static final long FIRST_RECORDS = 16;

  /** How long after its first record a stream with fewer gets its first, in milliseconds. */
  static final long FIRST_MILLIS = 5_000;

  /** A stream this many times as long as what its last snapshot covers gets another one. */
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

  /** Tells of a complete snapshot in the stream. */
  void saw(long through, long now) {
    lastThrough = Math.max(lastThrough, through);
    lastSeenAt = now;
    writeAt = Long.MAX_VALUE;
  }

  /** Tells that the stream is another one, which holds no snapshot yet. */
  void historyReplaced(long now) {
    lastThrough = -1;
    lastSeenAt = now;
    writeAt = Long.MAX_VALUE;
    heldUntil = Long.MIN_VALUE;
    firstSeenAt = Long.MAX_VALUE;
  }

  /** Tells of a part, of whichever snapshot. */
  void sawPart(long now) {
    heldUntil = now + TimeUnit.MILLISECONDS.toNanos(settings.holdMillis());
  }

  /** Returns whether this process writes one now; if so, the next one is at another moment. */
  boolean shouldWrite(StreamStatus status, long now) {
    if (!status.offering() && !isWhole(status)) {
      // The moment drawn stays: on a busy stream every few pages are read while more has come, and
      // drawing anew each time put off the first snapshot until all it was for had expired.
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

  /** A state that passed over records of a newer version is not what newer readers have. */
  private static boolean isWhole(StreamStatus status) {
    return status.caughtUp() && status.newerVersions() == 0 && status.applied() > 0;
  }

  private boolean isDue(StreamStatus status, long now) {
    long since = status.applied() - Math.max(lastThrough, 0);
    boolean many = since >= settings.everyRecords();
    boolean old = now - lastSeenAt >= TimeUnit.MILLISECONDS.toNanos(settings.everyMillis());
    long middle = status.firstOffset() + (status.applied() - status.firstOffset()) / 2;
    boolean expiring = status.firstOffset() > 0 && lastThrough < middle;
    return many || old || expiring || isYoung(status.applied(), now);
  }

  /**
   * Guards against a state that nobody can read any more: all processes die after the records of a
   * young stream expired and before its first snapshot. A job of eight tasks is some 13 records, so
   * their number alone does not tell.
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
