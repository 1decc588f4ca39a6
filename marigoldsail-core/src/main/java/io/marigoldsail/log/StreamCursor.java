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
 * Applies pages of a stream to a fold: skips duplicates and unreadable records, detects replaced
 * histories, and restores snapshots. Uses neither threads nor clocks. Confined to one thread.
 */
final class StreamCursor {
  /** Notified of skipped records, for logging. */
  interface SkipObserver {
    /** Called for each skipped record or entry; the count includes it. */
    void skipped(long offset, Skip reason, long count);
  }

  /** How the next read is made. */
  enum NextRead {
    /** Records from an offset whose predecessor is unknown. */
    BEGIN,
    /**
     * The last record read, to verify that the history is still the same, and the records after it.
     */
    CONTINUE,
    /** Waits for a new record. */
    AWAIT,
    /**
     * The last record of a stream that ends before the records already read: a lagging replica or a
     * replaced history.
     */
    COMPARE_LOWER_END,
    /** The last record read before the history was replaced. */
    COMPARE_LAST;

    /** Returns the maximum number of records to request. */
    int maxRecords(int pageRecords) {
      return switch (this) {
        case BEGIN -> pageRecords;
        case CONTINUE -> pageRecords + 1;
        case AWAIT, COMPARE_LOWER_END, COMPARE_LAST -> 1;
      };
    }

    /** Returns whether the log should wait for a record. */
    boolean waits() {
      return this == BEGIN || this == AWAIT;
    }
  }

  /** Consecutive waits on an empty stream after which its history counts as replaced. */
  private static final int EMPTY_WAITS = 3;

  /** Number of new records in a read from which the next read is made without waiting. */
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

  /** The end reported by a page if it is below the records already read; otherwise 0. */
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

  /** Returns how the next read is made. */
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

  /** Returns the first offset of a read. */
  long offsetOf(NextRead read) {
    return switch (read) {
      case BEGIN, AWAIT -> nextOffset;
      case CONTINUE, COMPARE_LAST -> nextOffset - 1;
      case COMPARE_LOWER_END -> lowerEnd - 1;
    };
  }

  /** Processes the response to a read. */
  void accept(NextRead read, LogPage page) {
    if (read == NextRead.AWAIT && !page.records().isEmpty()) {
      // The new record may belong to another history; it is read again with its predecessor.
      idle = false;
      end = Math.max(end, page.nextOffset());
      return;
    }
    emptyWaits = read == NextRead.AWAIT && page.nextOffset() == 0 ? emptyWaits + 1 : 0;
    if (emptyWaits >= EMPTY_WAITS && nextOffset > 0) {
      // There is no record to compare with, and appends must not continue before the replacement is
      // reported. A replica that is empty only for a while is harmless: its records are read again.
      replaced(page, "stream is empty");
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
    long newRecords = nextOffset - before;
    boolean atEnd = lowerEnd == 0 && nextOffset >= page.nextOffset();
    idle = atEnd && newRecords < BUSY_RECORDS;
    // The next record may be too large for a page that also contains its predecessor.
    alone = read == NextRead.CONTINUE && !atEnd && newRecords == 0;
  }

  /** Returns whether reading is halted until the former history is back. */
  boolean halted() {
    return halted;
  }

  /** Records a failed read; after an outage the history may have been replaced. */
  void failed() {
    idle = false;
  }

  /**
   * Applies the records of a page; those before {@link #nextOffset} are compared with the records
   * read there.
   */
  void accept(LogPage page) {
    if (halted) {
      compareHalted(page);
      return;
    }
    for (LogRecord record : page.records()) {
      if (record.offset() < nextOffset && anchors.compare(record) == Match.OTHER) {
        replaced(page, "record at offset " + record.offset() + " differs from the one read");
        return;
      }
    }
    if (page.nextOffset() > 0 && page.nextOffset() < firstOffset) {
      // A replica never lags by more than the retention.
      replaced(page, "stream ends at " + page.nextOffset() + ", before retained offset " + firstOffset);
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
        // A snapshot was restored; reading continues at its offset.
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
    // Continuing with this state would miss the expired records and diverge from other readers. Only
    // an operator can decide that they held no state.
    seeking = !(beginAnew && applied == 0);
    if (!seeking) {
      applied = nextOffset;
    }
  }

  /** Applies a record and returns whether a snapshot was restored. */
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
      // One entry on which the fold fails must not stop the stream in all processes.
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
    long snapshotRevision = fold.revisionOf(snapshot.state());
    ahead = ahead && fold.revision() > snapshotRevision;
    // Within one history a snapshot is never newer than a reader that has passed it; a newer one was
    // carried over from the former history.
    boolean later = snapshotRevision > fold.revision() && snapshot.through() >= firstOffset;
    if (!usable(snapshot) && !later) {
      return false;
    }
    boolean newerThanSnapshot = fold.revision() > snapshotRevision;
    if (!restore(snapshot)) {
      return false;
    }
    ahead = newerThanSnapshot;
    return true;
  }

  private boolean usable(StreamSnapshot snapshot) {
    // A snapshot from before the retained records leaves a gap. Any other is newer than this state,
    // because a reader looks for a snapshot only after records expired unread.
    return seeking && snapshot.through() >= firstOffset;
  }

  /**
   * Replaces the state; the next read starts at the snapshot's offset.
   *
   * @return whether the snapshot was valid; if not, nothing changed
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

  /** Returns the current state. */
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
