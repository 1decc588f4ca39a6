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
 * Applies pages of a stream to a fold: skips duplicates and unreadable records, detects replaced
 * histories, and restores snapshots. Uses neither threads nor clocks. Confined to one thread.
 */
final class StreamCursor {
  /** Notified of skipped records, for logging. */
  interface SkipObserver {
    /** Called for each skipped record or entry; the count includes it. */
    void skipped(long offset, SkipReason reason, long count);
  }

  /** How the next read is made. */
  enum ReadMode {
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
  private static final int MAX_EMPTY_WAITS = 3;

  /** Number of new records in a read from which the next read is made without waiting. */
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

  /** The end reported by a page if it is below the records already read; otherwise 0. */
  private long lowerEndOffset;

  private int emptyWaits;
  private boolean idle;
  private boolean withoutPredecessor;
  private boolean halted;
  private boolean seekingBeforeHalt;
  private boolean carryingOver;
  private boolean aheadOfSnapshot;
  private long historyReplacementCount;

  private final boolean startEmptyAfterExpiry;

  StreamCursor(
      Fold fold,
      boolean startEmptyAfterExpiry,
      StreamListener listener,
      SkipObserver skipObserver) {
    this.fold = fold;
    this.startEmptyAfterExpiry = startEmptyAfterExpiry;
    this.listener = listener;
    this.skipObserver = skipObserver;
  }

  /** Returns the offset to read next. */
  long nextOffset() {
    return nextOffset;
  }

  /** Returns how the next read is made. */
  ReadMode nextReadMode() {
    if (halted) {
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

  /** Returns the first offset of a read. */
  long offsetOf(ReadMode mode) {
    return switch (mode) {
      case BEGIN, AWAIT -> nextOffset;
      case CONTINUE, COMPARE_LAST -> nextOffset - 1;
      case COMPARE_LOWER_END -> lowerEndOffset - 1;
    };
  }

  /** Processes the response to a read. */
  void accept(ReadMode mode, LogPage page) {
    if (mode == ReadMode.AWAIT && !page.records().isEmpty()) {
      // The new record may belong to another history; it is read again with its predecessor.
      idle = false;
      endOffset = Math.max(endOffset, page.nextOffset());
      return;
    }
    emptyWaits = mode == ReadMode.AWAIT && page.nextOffset() == 0 ? emptyWaits + 1 : 0;
    if (emptyWaits >= MAX_EMPTY_WAITS && nextOffset > 0) {
      // There is no record to compare with, and appends must not continue before the replacement is
      // reported. A replica that is empty only for a while is harmless: its records are read again.
      replaceHistory(page, "stream is empty");
      idle = false;
      return;
    }
    long before = nextOffset;
    accept(page);
    if (mode == ReadMode.COMPARE_LOWER_END) {
      lowerEndOffset = 0;
      idle = true;
      return;
    }
    long newRecords = nextOffset - before;
    boolean atEnd = lowerEndOffset == 0 && nextOffset >= page.nextOffset();
    idle = atEnd && newRecords < BUSY_STREAM_RECORDS;
    // The next record may be too large for a page that also contains its predecessor.
    withoutPredecessor = mode == ReadMode.CONTINUE && !atEnd && newRecords == 0;
  }

  /** Returns whether reading is halted until the former history is back. */
  boolean isHalted() {
    return halted;
  }

  /** Records a failed read; after an outage the history may have been replaced. */
  void recordReadFailure() {
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
      if (record.offset() < nextOffset && recentHashes.compare(record) == Match.DIFFERENT) {
        replaceHistory(page, "record at offset " + record.offset() + " differs from the one read");
        return;
      }
    }
    if (page.nextOffset() > 0 && page.nextOffset() < firstOffset) {
      // A replica never lags by more than the retention.
      replaceHistory(
          page, "stream ends at " + page.nextOffset() + ", before retained offset " + firstOffset);
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
        // A snapshot was restored; reading continues at its offset.
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
        halted = false;
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
      halted = true;
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
    // Continuing with this state would miss the expired records and diverge from other readers.
    // Only an operator can decide that they held no state.
    seekingSnapshot = !(startEmptyAfterExpiry && appliedOffset == 0);
    if (!seekingSnapshot) {
      appliedOffset = nextOffset;
    }
  }

  /** Applies a record and returns whether a snapshot was restored. */
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
      // One entry on which the fold fails must not stop the stream in all processes.
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
    long snapshotRevision = fold.revisionOf(snapshot.state());
    aheadOfSnapshot = aheadOfSnapshot && fold.revision() > snapshotRevision;
    // Within one history a snapshot is never newer than a reader that has passed it; a newer one
    // was carried over from the former history.
    boolean later = snapshotRevision > fold.revision() && snapshot.nextOffset() >= firstOffset;
    if (!isUsable(snapshot) && !later) {
      return false;
    }
    boolean newerThanSnapshot = fold.revision() > snapshotRevision;
    if (!restore(snapshot)) {
      return false;
    }
    aheadOfSnapshot = newerThanSnapshot;
    return true;
  }

  private boolean isUsable(StreamSnapshot snapshot) {
    // A snapshot from before the retained records leaves a gap. Any other is newer than this state,
    // because a reader looks for a snapshot only after records expired unread.
    return seekingSnapshot && snapshot.nextOffset() >= firstOffset;
  }

  /**
   * Replaces the state; the next read starts at the snapshot's offset.
   *
   * @return whether the snapshot was valid; if not, nothing changed
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

  /** Returns the current state. */
  StreamSnapshot snapshot() {
    long offset = carryingOver ? nextOffset : appliedOffset;
    return new StreamSnapshot(offset, writerSequences.toJson(), fold.snapshot());
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
