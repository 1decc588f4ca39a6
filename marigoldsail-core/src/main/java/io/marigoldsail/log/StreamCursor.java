package io.marigoldsail.log;

import io.marigoldsail.log.RecordCodec.Decoded;
import io.marigoldsail.log.RecordCodec.Raw;
import io.marigoldsail.log.RecordCodec.Skip;
import io.marigoldsail.log.SnapshotParts.Seen;
import io.marigoldsail.log.StreamAnchors.Match;
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

  /** What a reader asks for. */
  enum NextRead {
    /** Records from an offset whose predecessor is not known here. */
    BEGIN,
    /** The last record read, to see that this is still the same stream, and what follows it. */
    CONTINUE,
    /** Whether anything has come. */
    AWAIT,
    /** The last record of a stream that ends before what was read: a lagging replica or another. */
    COMPARE_LOWER_END,
    /** The last record read before another stream took the place of this one. */
    COMPARE_LAST;

    /** Returns how many records are wanted. */
    int maxRecords(int pageRecords) {
      return switch (this) {
        case BEGIN -> pageRecords;
        case CONTINUE -> pageRecords + 1;
        case AWAIT, COMPARE_LOWER_END, COMPARE_LAST -> 1;
      };
    }

    /** Returns whether the log is asked to wait for a record. */
    boolean waits() {
      return this == BEGIN || this == AWAIT;
    }
  }

  /** After how many waits in a row for an empty stream it is another one. */
  private static final int EMPTY_WAITS = 3;

  /** How many new records in a read tell that the next will find some without waiting. */
  private static final int BUSY_RECORDS = 2;

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
  private final StreamAnchors anchors = new StreamAnchors();

  /** The end that a page told of below what was read; 0 if none did. */
  private long lowerEnd;

  private int emptyWaits;
  private boolean idle;
  private boolean alone;
  private boolean halted;
  private boolean soughtBeforeHalt;
  private boolean carrying;
  private boolean ahead;
  private long histories;

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

  /** Returns what to ask the log for next. */
  NextRead nextRead() {
    if (halted) {
      return NextRead.COMPARE_LAST;
    }
    if (lowerEnd > 0 && !idle) {
      return NextRead.COMPARE_LOWER_END;
    }
    if (idle) {
      return NextRead.AWAIT;
    }
    return anchors.knows(nextOffset - 1) && !alone ? NextRead.CONTINUE : NextRead.BEGIN;
  }

  /** Returns the offset that a read begins at. */
  long offsetOf(NextRead read) {
    return switch (read) {
      case BEGIN, AWAIT -> nextOffset;
      case CONTINUE, COMPARE_LAST -> nextOffset - 1;
      case COMPARE_LOWER_END -> lowerEnd - 1;
    };
  }

  /** Takes the answer to a read in. */
  void accept(NextRead read, LogPage page) {
    if (read == NextRead.AWAIT && !page.records().isEmpty()) {
      // What has come is not known to continue what was read: it is asked for with its predecessor.
      idle = false;
      end = Math.max(end, page.nextOffset());
      return;
    }
    emptyWaits = read == NextRead.AWAIT && page.nextOffset() == 0 ? emptyWaits + 1 : 0;
    if (emptyWaits >= EMPTY_WAITS && nextOffset > 0) {
      // Nothing to compare with, and nobody may append before this is told. A replica that was
      // empty only for a while does no harm: what is kept here is read again or found again.
      replaced(page, "it is empty");
      idle = false;
      return;
    }
    long before = nextOffset;
    accept(page);
    if (read == NextRead.COMPARE_LOWER_END) {
      lowerEnd = 0;
      idle = true;
      return;
    }
    long found = nextOffset - before;
    boolean atEnd = lowerEnd == 0 && nextOffset >= page.nextOffset();
    idle = atEnd && found < BUSY_RECORDS;
    // The record that follows may be one that fits no page together with its predecessor.
    alone = read == NextRead.CONTINUE && !atEnd && found == 0;
  }

  /** Returns whether all waits for the former history. */
  boolean halted() {
    return halted;
  }

  /** Tells that reads failed: what answers after an outage may be another stream. */
  void failed() {
    idle = false;
  }

  /**
   * Takes the records of a page in; those before {@link #nextOffset} are compared with what stood
   * there.
   */
  void accept(LogPage page) {
    if (halted) {
      compareHalted(page);
      return;
    }
    for (LogRecord record : page.records()) {
      if (record.offset() < nextOffset && anchors.compare(record) == Match.OTHER) {
        replaced(page, "another record at offset " + record.offset());
        return;
      }
    }
    if (page.nextOffset() > 0 && page.nextOffset() < firstOffset) {
      // No replica lags by more than the whole retention.
      replaced(page, "it ends at " + page.nextOffset() + " before the retained " + firstOffset);
      return;
    }
    lowerEnd = page.nextOffset() < nextOffset ? page.nextOffset() : 0;
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
      anchors.remember(record);
      if (readRecord(record)) {
        // The state now stands elsewhere in the stream; the rest of the page is read again there.
        return;
      }
    }
    if (!seeking) {
      applied = nextOffset;
    }
  }

  private void compareHalted(LogPage page) {
    for (LogRecord record : page.records()) {
      if (record.offset() == nextOffset - 1 && anchors.compare(record) == Match.SAME) {
        halted = false;
        seeking = soughtBeforeHalt;
        listener.historyReturned();
      }
    }
  }

  private void replaced(LogPage page, String detail) {
    histories++;
    lowerEnd = 0;
    NewHistory reaction = fold.onNewHistory();
    if (reaction == NewHistory.HALT) {
      halted = true;
      soughtBeforeHalt = seeking;
      seeking = true;
    } else {
      beginNewHistory(page, reaction);
    }
    listener.historyReplaced(reaction, detail);
  }

  private void beginNewHistory(LogPage page, NewHistory reaction) {
    fold.beginNewHistory();
    marks = new WriterMarks();
    anchors.clear();
    parts.clear();
    firstOffset = page.firstOffset();
    nextOffset = firstOffset;
    applied = firstOffset;
    end = page.nextOffset();
    carrying = reaction == NewHistory.CARRY_OVER && fold.revision() > 0;
    seeking = carrying || (reaction == NewHistory.CARRY_OVER && firstOffset > 0);
    ahead = false;
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
    boolean keep = seeking || fold.onNewHistory() == NewHistory.CARRY_OVER;
    Optional<Seen> seen = parts.add(raw.body(), keep);
    if (seen.isEmpty()) {
      return false;
    }
    listener.sawSnapshotPart();
    if (!seen.get().complete()) {
      return false;
    }
    listener.sawSnapshot(seen.get().through());
    return seen.get().snapshot().map(this::consider).orElse(false);
  }

  private boolean consider(StreamSnapshot snapshot) {
    long offered = fold.revisionOf(snapshot.state());
    ahead = ahead && fold.revision() > offered;
    // Within one history no snapshot is later than a reader that stands behind it; one that is
    // was carried over from the history before.
    boolean later = offered > fold.revision() && snapshot.through() >= firstOffset;
    if (!usable(snapshot) && !later) {
      return false;
    }
    boolean overtaken = fold.revision() > offered;
    if (!restore(snapshot)) {
      return false;
    }
    ahead = overtaken;
    return true;
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
      listener.restoring();
      fold.restore(snapshot.state());
      marks = restored;
    } catch (RuntimeException e) {
      skip(snapshot.through(), Skip.REFUSED_BY_FOLD);
      return false;
    }
    nextOffset = snapshot.through();
    applied = snapshot.through();
    seeking = false;
    carrying = false;
    parts.clear();
    listener.restored(snapshot);
    return true;
  }

  /** Returns the present state. */
  StreamSnapshot snapshot() {
    long through = carrying ? nextOffset : applied;
    return new StreamSnapshot(through, marks.toJson(), fold.snapshot());
  }

  StreamStatus status(boolean outage) {
    long skipped = skips.values().stream().mapToLong(Long::longValue).sum();
    long newer = skips.getOrDefault(Skip.NEWER_VERSION, 0L);
    boolean offering = (carrying || ahead) && !outage && nextOffset >= end;
    return new StreamStatus(
        applied,
        Math.max(end, applied),
        firstOffset,
        seeking,
        outage,
        skipped,
        newer,
        histories,
        offering);
  }

  private void skip(long offset, Skip reason) {
    long count = skips.merge(reason, 1L, Long::sum);
    skipObserver.skipped(offset, reason, count);
  }
}
