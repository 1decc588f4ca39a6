package io.marigoldsail.log;

import io.marigoldsail.log.RecordCodec.Decoded;
import io.marigoldsail.log.RecordCodec.Raw;
import io.marigoldsail.log.RecordCodec.Skip;
import io.marigoldsail.log.SnapshotParts.Seen;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Turns pages of a stream into applied entries: what counts, what is passed over, when to start
 * over from a snapshot. Knows neither thread nor time. Confined to one thread.
 */
final class StreamCursor {
  /** Told of what is passed over, so that it can be logged. */
  interface SkipObserver {
    /** One record or entry was passed over; the count includes it. */
    void skipped(long offset, Skip reason, long count);
  }

  private final Fold fold;
  private final StreamListener listener;
  private final SkipObserver skipObserver;
  private final SnapshotParts parts = new SnapshotParts();
  private final Map<Skip, Long> skips = new EnumMap<>(Skip.class);
  private WriterMarks marks = new WriterMarks();
  private long applied;
  private long nextOffset;
  private long end;
  private long firstOffset;
  private boolean seeking;

  private final boolean beginAnew;

  StreamCursor(Fold fold, boolean beginAnew, StreamListener listener, SkipObserver skipObserver) {
    this.fold = fold;
    this.beginAnew = beginAnew;
    this.listener = listener;
    this.skipObserver = skipObserver;
  }

  /** Returns the offset to read next. */
  long nextOffset() {
    return nextOffset;
  }

  /** Takes the records of a page in; records before {@link #nextOffset} are ignored. */
  void accept(LogPage page) {
    firstOffset = Math.max(firstOffset, page.firstOffset());
    end = page.nextOffset();
    if (page.firstOffset() > nextOffset) {
      expiredUnread();
    }
    for (LogRecord record : page.records()) {
      if (record.offset() != nextOffset) {
        continue;
      }
      nextOffset++;
      if (readRecord(record)) {
        // The state now stands elsewhere in the stream; the rest of the page is read again there.
        return;
      }
    }
    if (!seeking) {
      applied = nextOffset;
    }
  }

  private void expiredUnread() {
    nextOffset = firstOffset;
    parts.clear();
    // A reader that went on here with what it has would miss what expired, and come to another
    // state than the rest. Only an operator may say that there was nothing to miss.
    seeking = !(beginAnew && applied == 0);
    if (!seeking) {
      applied = nextOffset;
    }
  }

  /** Returns whether the state was replaced. */
  private boolean readRecord(LogRecord record) {
    Decoded decoded = RecordCodec.decode(record.bytes());
    decoded.skips().forEach(reason -> skip(record.offset(), reason));
    for (Raw raw : decoded.entries()) {
      boolean counts = seeking || marks.accept(raw.parts());
      if (raw.type().equals(SnapshotParts.TYPE)) {
        if (readSnapshotPart(raw)) {
          return true;
        }
      } else if (!seeking && counts) {
        apply(
            new LogEntry(
                new Position(record.offset(), raw.index()), raw.id(), raw.type(), raw.body()));
      }
    }
    if (!seeking) {
      applied = nextOffset;
    }
    return false;
  }

  private void apply(LogEntry entry) {
    try {
      fold.apply(entry);
    } catch (RuntimeException e) {
      // A single entry that a fold cannot bear must not keep all processes from reading on.
      skip(entry.position().offset(), Skip.REFUSED_BY_FOLD);
    }
    listener.applied(entry);
  }

  private boolean readSnapshotPart(Raw raw) {
    Optional<Seen> seen = parts.add(raw.body(), seeking);
    if (seen.isEmpty()) {
      return false;
    }
    listener.sawSnapshotPart();
    if (!seen.get().complete()) {
      return false;
    }
    listener.sawSnapshot(seen.get().through());
    return seen.get().snapshot().filter(this::usable).map(this::restore).orElse(false);
  }

  private boolean usable(StreamSnapshot snapshot) {
    // One that begins before what is retained leaves a gap. Any other is newer than this state, for
    // a reader seeks only once retention has passed it.
    return seeking && snapshot.through() >= firstOffset;
  }

  /**
   * Replaces the state; the next read goes on from the snapshot's offset.
   *
   * @return whether the snapshot made sense; if not, nothing changed
   */
  boolean restore(StreamSnapshot snapshot) {
    try {
      WriterMarks restored = WriterMarks.fromJson(snapshot.writers());
      fold.restore(snapshot.state());
      marks = restored;
    } catch (RuntimeException e) {
      skip(snapshot.through(), Skip.REFUSED_BY_FOLD);
      return false;
    }
    nextOffset = snapshot.through();
    applied = snapshot.through();
    seeking = false;
    parts.clear();
    listener.restored(snapshot);
    return true;
  }

  /** Returns the present state. */
  StreamSnapshot snapshot() {
    return new StreamSnapshot(applied, marks.toJson(), fold.snapshot());
  }

  StreamStatus status(boolean outage) {
    long skipped = skips.values().stream().mapToLong(Long::longValue).sum();
    long newer = skips.getOrDefault(Skip.NEWER_VERSION, 0L);
    return new StreamStatus(
        applied, Math.max(end, applied), firstOffset, seeking, outage, skipped, newer);
  }

  private void skip(long offset, Skip reason) {
    long count = skips.merge(reason, 1L, Long::sum);
    skipObserver.skipped(offset, reason, count);
  }
}
