package io.marigoldsail.log;

import io.marigoldsail.log.RecentRecordHashes.Match;
import io.marigoldsail.log.RecordCodec.Decoded;
import io.marigoldsail.log.RecordCodec.RawEntry;
import io.marigoldsail.log.RecordCodec.SkipReason;
import io.marigoldsail.log.SnapshotParts.PartResult;
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
    void skipped(long offset, SkipReason reason, long count);
  }

  /** What a reader asks for. */
  enum ReadMode {
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
  private static final int MAX_EMPTY_WAITS = 3;

  /** How many new records in a read tell that the next will find some without waiting. */
  private static final int BUSY_STREAM_RECORDS = 2;

  private final Fold fold;
  private final StreamListener listener;
  private final SkipObserver skipObserver;
  private final SnapshotParts parts = new SnapshotParts();
  private final Map<SkipReason, Long> skips = new EnumMap<>(SkipReason.class);
  private WriterSequences writerSequences = new WriterSequences();
  private long appliedOffset;
  private long nextOffset;
  private long endOffset;
  private long firstOffset;
  private boolean seekingSnapshot;
  private final RecentRecordHashes recentHashes = new RecentRecordHashes();

  /** The end that a page told of below what was read; 0 if none did. */
  private long lowerEndOffset;

  private int emptyWaits;
  private boolean idle;
  private boolean withoutPredecessor;
  private boolean isHalted;
  private boolean seekingBeforeHalt;
  private boolean carryingOver;
  private boolean aheadOfSnapshot;
  private long historyReplacementCount;

  private final boolean startEmptyAfterExpiry;

  StreamCursor(Fold fold, boolean beginAnew, StreamListener listener, SkipObserver skipObserver) {
    this.fold = fold;
    this.startEmptyAfterExpiry = beginAnew;
    this.listener = listener;
    this.skipObserver = skipObserver;
  }

  /** Returns the offset to read next. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns what to ask the log for next. */
  ReadMode nextReadMode() {
    if (isHalted) {
      return ReadMode.COMPARE_LAST;
    }
    if (lowerEndOffset > 0 && !idle) {
      return ReadMode.COMPARE_LOWER_END;
    }
    if (idle) {
      return ReadMode.AWAIT;
    }
    return recentHashes.contains(nextOffset - 1) && !withoutPredecessor
        ? ReadMode.CONTINUE
        : ReadMode.BEGIN;
  }

  /** Returns the offset that a read begins at. */
  long offsetOf(ReadMode read) {
    return switch (read) {
      case BEGIN, AWAIT -> nextOffset;
      case CONTINUE, COMPARE_LAST -> nextOffset - 1;
      case COMPARE_LOWER_END -> lowerEndOffset - 1;
    };
  }

  /** Takes the answer to a read in. */
  void accept(ReadMode read, LogPage page) {
    if (read == ReadMode.AWAIT && !page.records().isEmpty()) {
      // What has come is not known to continue what was read: it is asked for with its predecessor.
      idle = false;
      endOffset = Math.max(endOffset, page.nextOffset());
      return;
    }
    emptyWaits = read == ReadMode.AWAIT && page.nextOffset() == 0 ? emptyWaits + 1 : 0;
    if (emptyWaits >= MAX_EMPTY_WAITS && nextOffset > 0) {
      // Nothing to compare with, and nobody may append before this is told. A replica that was
      // empty only for a while does no harm: what is kept here is read again or found again.
      replaceHistory(page, "it is empty");
      idle = false;
      return;
    }
    long before = nextOffset;
    accept(page);
    if (read == ReadMode.COMPARE_LOWER_END) {
      lowerEndOffset = 0;
      idle = true;
      return;
    }
    long found = nextOffset - before;
    boolean atEnd = lowerEndOffset == 0 && nextOffset >= page.nextOffset();
    idle = atEnd && found < BUSY_STREAM_RECORDS;
    // The record that follows may be one that fits no page together with its predecessor.
    withoutPredecessor = read == ReadMode.CONTINUE && !atEnd && found == 0;
  }

  /** Returns whether all waits for the former history. */
  boolean isHalted() {
    return isHalted;
  }

  /** Tells that reads failed: what answers after an outage may be another stream. */
  void recordReadFailure() {
    idle = false;
  }

  /**
   * Takes the records of a page in; those before {@link #nextOffset} are compared with what stood
   * there.
   */
  void accept(LogPage page) {
    if (isHalted) {
      compareHalted(page);
      return;
    }
    for (LogRecord record : page.records()) {
      if (record.offset() < nextOffset && recentHashes.compare(record) == Match.DIFFERENT) {
        replaceHistory(page, "another record at offset " + record.offset());
        return;
      }
    }
    if (page.nextOffset() > 0 && page.nextOffset() < firstOffset) {
      // No replica lags by more than the whole retention.
      replaceHistory(
          page, "it ends at " + page.nextOffset() + " before the retained " + firstOffset);
      return;
    }
    lowerEndOffset = page.nextOffset() < nextOffset ? page.nextOffset() : 0;
    firstOffset = Math.max(firstOffset, page.firstOffset());
    endOffset = page.nextOffset();
    if (page.firstOffset() > nextOffset) {
      skipExpiredRecords();
    }
    for (LogRecord record : page.records()) {
      if (record.offset() != nextOffset) {
        continue;
      }
      nextOffset++;
      recentHashes.add(record);
      if (applyRecord(record)) {
        // The state now stands elsewhere in the stream; the rest of the page is read again there.
        return;
      }
    }
    if (!seekingSnapshot) {
      appliedOffset = nextOffset;
    }
  }

  private void compareHalted(LogPage page) {
    for (LogRecord record : page.records()) {
      if (record.offset() == nextOffset - 1 && recentHashes.compare(record) == Match.SAME) {
        isHalted = false;
        seekingSnapshot = seekingBeforeHalt;
        listener.historyReturned();
      }
    }
  }

  private void replaceHistory(LogPage page, String detail) {
    historyReplacementCount++;
    lowerEndOffset = 0;
    HistoryReplacementPolicy reaction = fold.historyReplacementPolicy();
    if (reaction == HistoryReplacementPolicy.HALT) {
      isHalted = true;
      seekingBeforeHalt = seekingSnapshot;
      seekingSnapshot = true;
    } else {
      beginNewHistory(page, reaction);
    }
    listener.historyReplaced(reaction, detail);
  }

  private void beginNewHistory(LogPage page, HistoryReplacementPolicy reaction) {
    fold.beginNewHistory();
    writerSequences = new WriterSequences();
    recentHashes.clear();
    parts.clear();
    firstOffset = page.firstOffset();
    nextOffset = firstOffset;
    appliedOffset = firstOffset;
    endOffset = page.nextOffset();
    carryingOver = reaction == HistoryReplacementPolicy.CARRY_OVER && fold.revision() > 0;
    seekingSnapshot =
        carryingOver || (reaction == HistoryReplacementPolicy.CARRY_OVER && firstOffset > 0);
    aheadOfSnapshot = false;
  }

  private void skipExpiredRecords() {
    nextOffset = firstOffset;
    parts.clear();
    // A reader that went on here with what it has would miss what expired, and come to another
    // state than the rest. Only an operator may say that there was nothing to miss.
    seekingSnapshot = !(startEmptyAfterExpiry && appliedOffset == 0);
    if (!seekingSnapshot) {
      appliedOffset = nextOffset;
    }
  }

  /** Returns whether the state was replaced. */
  private boolean applyRecord(LogRecord record) {
    Decoded decoded = RecordCodec.decode(record.bytes());
    decoded.skips().forEach(reason -> recordSkip(record.offset(), reason));
    for (RawEntry raw : decoded.entries()) {
      boolean counts = seekingSnapshot || writerSequences.accept(raw.parts());
      if (raw.type().equals(SnapshotParts.TYPE)) {
        if (addSnapshotPart(raw)) {
          return true;
        }
      } else if (!seekingSnapshot && counts) {
        apply(
            new LogEntry(
                new Position(record.offset(), raw.index()), raw.id(), raw.type(), raw.body()));
      }
    }
    if (!seekingSnapshot) {
      appliedOffset = nextOffset;
    }
    return false;
  }

  private void apply(LogEntry entry) {
    try {
      fold.apply(entry);
    } catch (RuntimeException e) {
      // A single entry that a fold cannot bear must not keep all processes from reading on.
      recordSkip(entry.position().offset(), SkipReason.REFUSED_BY_FOLD);
    }
    listener.entryApplied(entry);
  }

  private boolean addSnapshotPart(RawEntry raw) {
    boolean keep =
        seekingSnapshot || fold.historyReplacementPolicy() == HistoryReplacementPolicy.CARRY_OVER;
    Optional<PartResult> seen = parts.add(raw.body(), keep);
    if (seen.isEmpty()) {
      return false;
    }
    listener.snapshotPartRead();
    if (!seen.get().complete()) {
      return false;
    }
    listener.snapshotRead(seen.get().nextOffset());
    return seen.get().snapshot().map(this::restoreIfNewer).orElse(false);
  }

  private boolean restoreIfNewer(StreamSnapshot snapshot) {
    long offered = fold.revisionOf(snapshot.state());
    aheadOfSnapshot = aheadOfSnapshot && fold.revision() > offered;
    // Within one history no snapshot is later than a reader that stands behind it; one that is
    // was carried over from the history before.
    boolean later = offered > fold.revision() && snapshot.nextOffset() >= firstOffset;
    if (!isUsable(snapshot) && !later) {
      return false;
    }
    boolean overtaken = fold.revision() > offered;
    if (!restore(snapshot)) {
      return false;
    }
    aheadOfSnapshot = overtaken;
    return true;
  }

  private boolean isUsable(StreamSnapshot snapshot) {
    // One that begins before what is retained leaves a gap. Any other is newer than this state, for
    // a reader seeks only once retention has passed it.
    return seekingSnapshot && snapshot.nextOffset() >= firstOffset;
  }

  /**
   * Replaces the state; the next read goes on from the snapshot's offset.
   *
   * @return whether the snapshot made sense; if not, nothing changed
   */
  boolean restore(StreamSnapshot snapshot) {
    try {
      WriterSequences restored = WriterSequences.fromJson(snapshot.writerSequences());
      listener.restoring();
      fold.restore(snapshot.state());
      writerSequences = restored;
    } catch (RuntimeException e) {
      recordSkip(snapshot.nextOffset(), SkipReason.REFUSED_BY_FOLD);
      return false;
    }
    nextOffset = snapshot.nextOffset();
    appliedOffset = snapshot.nextOffset();
    seekingSnapshot = false;
    carryingOver = false;
    parts.clear();
    listener.restored(snapshot);
    return true;
  }

  /** Returns the present state. */
  StreamSnapshot snapshot() {
    long through = carryingOver ? nextOffset : appliedOffset;
    return new StreamSnapshot(through, writerSequences.toJson(), fold.snapshot());
  }

  StreamStatus status(boolean outage) {
    long skipped = skips.values().stream().mapToLong(Long::longValue).sum();
    long newer = skips.getOrDefault(SkipReason.NEWER_VERSION, 0L);
    boolean offering = (carryingOver || aheadOfSnapshot) && !outage && nextOffset >= endOffset;
    return new StreamStatus(
        appliedOffset,
        Math.max(endOffset, appliedOffset),
        firstOffset,
        seekingSnapshot,
        outage,
        skipped,
        newer,
        historyReplacementCount,
        offering);
  }

  private void recordSkip(long offset, SkipReason reason) {
    long count = skips.merge(reason, 1L, Long::sum);
    skipObserver.skipped(offset, reason, count);
  }
}
