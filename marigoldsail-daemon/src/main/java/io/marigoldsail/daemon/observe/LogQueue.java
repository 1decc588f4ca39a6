package io.marigoldsail.daemon.observe;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * A FIFO queue of log records to write, bounded in records and in bytes.
 *
 * <p>When the queue is full, a new record displaces the newest record of a lower severity (errors
 * rank above warnings, warnings above the rest); if there is none, the new record is dropped.
 * Dropped records are counted by severity and reported by one record, which {@link #take} returns
 * at the position of the first dropped record.
 *
 * <p>Not thread-safe. Rejects nulls.
 */
final class LogQueue {
  /** The memory counted per record in addition to its text, in bytes. */
  static final int BYTES_A_RECORD = 128;

  private static final int BYTES_A_CHARACTER = 2;

  /** The severity of a record, highest first; the highest is dropped last. */
  enum Rank {
    /** An operator must act. */
    ERROR,
    /** The system recovered from a fault. */
    WARNING,
    /** Everything else. */
    INFO;

    static Rank of(LogRecord logRecord) {
      int level = logRecord.getLevel().intValue();
      if (level >= Level.SEVERE.intValue()) {
        return ERROR;
      }
      return level >= Level.WARNING.intValue() ? WARNING : INFO;
    }
  }

  private record Queued(long sequence, LogRecord logRecord, int bytes) {}

  /** Counts the records dropped between two records that were taken. */
  private static final class Gap {
    private final int[] dropped = new int[Rank.values().length];
    private long firstSequence = Long.MAX_VALUE;
    private Instant since = Instant.MAX;
    private Instant until = Instant.MIN;

    void add(Queued queued) {
      dropped[Rank.of(queued.logRecord()).ordinal()]++;
      firstSequence = Math.min(firstSequence, queued.sequence());
      Instant time = queued.logRecord().getInstant();
      since = time.isBefore(since) ? time : since;
      until = time.isAfter(until) ? time : until;
    }

    LogRecord told() {
      LogLine line =
          LogLine.of("log-lines-dropped")
              .with("error", dropped[Rank.ERROR.ordinal()])
              .with("warning", dropped[Rank.WARNING.ordinal()])
              .with("info", dropped[Rank.INFO.ordinal()])
              .with("since", since);
      LogRecord logRecord = new LogRecord(Level.WARNING, line.toString());
      logRecord.setLoggerName(LogWriter.class.getName());
      logRecord.setInstant(until);
      return logRecord;
    }
  }

  private final int mostLines;
  private final int mostBytes;
  private final List<ArrayDeque<Queued>> byRank;
  private Gap gap;
  private long nextSequence;
  private int lines;
  private int bytes;

  /**
   * Creates an empty queue.
   *
   * @param maxLines the maximum number of records
   * @param maxBytes the maximum memory of the records in bytes, as counted by {@link #bytes}
   */
  LogQueue(int maxLines, int maxBytes) {
    checkArgument(maxLines > 0, "maxLines is not positive: %s", maxLines);
    checkArgument(maxBytes > 0, "maxBytes is not positive: %s", maxBytes);
    this.mostLines = maxLines;
    this.mostBytes = maxBytes;
    this.byRank = ImmutableList.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());
  }

  /** Returns the memory counted for a record, in bytes. */
  static int bytes(LogRecord logRecord) {
    return BYTES_A_RECORD + BYTES_A_CHARACTER * logRecord.getMessage().length();
  }

  /** Adds a record at the end. If the queue is full, drops lower-severity records or this one. */
  void add(LogRecord logRecord) {
    Queued added = new Queued(nextSequence++, logRecord, bytes(logRecord));
    Rank rank = Rank.of(logRecord);
    while (lines + 1 > mostLines || added.bytes() > mostBytes - bytes) {
      if (added.bytes() > mostBytes || !dropBelow(rank)) {
        drop(added);
        return;
      }
    }
    byRank.get(rank.ordinal()).addLast(added);
    lines++;
    bytes += added.bytes();
  }

  private boolean dropBelow(Rank rank) {
    for (int lower = Rank.INFO.ordinal(); lower > rank.ordinal(); lower--) {
      if (!byRank.get(lower).isEmpty()) {
        drop(counted(byRank.get(lower).removeLast()));
        return true;
      }
    }
    return false;
  }

  private void drop(Queued dropped) {
    if (gap == null) {
      gap = new Gap();
    }
    gap.add(dropped);
  }

  /**
   * Removes and returns the oldest records.
   *
   * @param maxRecords the maximum number of records to return
   */
  List<LogRecord> take(int maxRecords) {
    List<LogRecord> taken = new ArrayList<>(Math.min(maxRecords, lines + 1));
    while (taken.size() < maxRecords && !isEmpty()) {
      taken.add(takeOne());
    }
    return taken;
  }

  private LogRecord takeOne() {
    ArrayDeque<Queued> oldest = null;
    for (ArrayDeque<Queued> queue : byRank) {
      if (!queue.isEmpty() && (oldest == null || first(queue) < first(oldest))) {
        oldest = queue;
      }
    }
    if (gap != null && (oldest == null || gap.firstSequence < first(oldest))) {
      LogRecord report = gap.told();
      gap = null;
      return report;
    }
    return counted(oldest.removeFirst()).logRecord();
  }

  private static long first(ArrayDeque<Queued> queue) {
    return queue.getFirst().sequence();
  }

  private Queued counted(Queued removed) {
    lines--;
    bytes -= removed.bytes();
    return removed;
  }

  /** Returns whether there are neither records nor dropped records to report. */
  boolean isEmpty() {
    return lines == 0 && gap == null;
  }

  /** Returns whether half of the record or byte limit is used. */
  boolean isHalfFull() {
    return lines >= mostLines / 2 || bytes >= mostBytes / 2;
  }
}
