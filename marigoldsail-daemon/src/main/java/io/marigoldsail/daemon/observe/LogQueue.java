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
  static final int RECORD_OVERHEAD_BYTES = 128;

  private static final int BYTES_PER_CHARACTER = 2;

  /** The severity of a record, highest first; the highest is dropped last. */
  enum Severity {
    /** An operator must act. */
    ERROR,
    /** The system recovered from a fault. */
    WARNING,
    /** Everything else. */
    INFO;

    static Severity of(LogRecord logRecord) {
      int level = logRecord.getLevel().intValue();
      if (level >= Level.SEVERE.intValue()) {
        return ERROR;
      }
      return level >= Level.WARNING.intValue() ? WARNING : INFO;
    }
  }

  private record Queued(long sequence, LogRecord logRecord, int bytes) {}

  /** Counts the records dropped between two records that were taken. */
  private static final class DroppedRecords {
    private final int[] countBySeverity = new int[Severity.values().length];
    private long firstSequence = Long.MAX_VALUE;
    private Instant since = Instant.MAX;
    private Instant until = Instant.MIN;

    void add(Queued queued) {
      countBySeverity[Severity.of(queued.logRecord()).ordinal()]++;
      firstSequence = Math.min(firstSequence, queued.sequence());
      Instant time = queued.logRecord().getInstant();
      since = time.isBefore(since) ? time : since;
      until = time.isAfter(until) ? time : until;
    }

    LogRecord toLogRecord() {
      LogLine line =
          LogLine.of("log-lines-dropped")
              .with("error", countBySeverity[Severity.ERROR.ordinal()])
              .with("warning", countBySeverity[Severity.WARNING.ordinal()])
              .with("info", countBySeverity[Severity.INFO.ordinal()])
              .with("since", since);
      LogRecord logRecord = new LogRecord(Level.WARNING, line.toString());
      logRecord.setLoggerName(LogWriter.class.getName());
      logRecord.setInstant(until);
      return logRecord;
    }
  }

  private final int maxLines;
  private final int maxBytes;
  private final List<ArrayDeque<Queued>> recordsBySeverity;
  private DroppedRecords droppedRecords;
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
    this.maxLines = maxLines;
    this.maxBytes = maxBytes;
    this.recordsBySeverity =
        ImmutableList.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());
  }

  /** Returns the memory counted for a record, in bytes. */
  static int bytes(LogRecord logRecord) {
    return RECORD_OVERHEAD_BYTES + BYTES_PER_CHARACTER * logRecord.getMessage().length();
  }

  /** Adds a record at the end. If the queue is full, drops lower-severity records or this one. */
  void add(LogRecord logRecord) {
    Queued added = new Queued(nextSequence++, logRecord, bytes(logRecord));
    Severity severity = Severity.of(logRecord);
    while (lines + 1 > maxLines || added.bytes() > maxBytes - bytes) {
      if (added.bytes() > maxBytes || !dropLowerSeverity(severity)) {
        drop(added);
        return;
      }
    }
    recordsBySeverity.get(severity.ordinal()).addLast(added);
    lines++;
    bytes += added.bytes();
  }

  private boolean dropLowerSeverity(Severity severity) {
    for (int lower = Severity.INFO.ordinal(); lower > severity.ordinal(); lower--) {
      if (!recordsBySeverity.get(lower).isEmpty()) {
        drop(subtract(recordsBySeverity.get(lower).removeLast()));
        return true;
      }
    }
    return false;
  }

  private void drop(Queued dropped) {
    if (droppedRecords == null) {
      droppedRecords = new DroppedRecords();
    }
    droppedRecords.add(dropped);
  }

  /**
   * Removes and returns the oldest records.
   *
   * @param maxRecords the maximum number of records to return
   */
  List<LogRecord> take(int maxRecords) {
    List<LogRecord> taken = new ArrayList<>(Math.min(maxRecords, lines + 1));
    while (taken.size() < maxRecords && !isEmpty()) {
      taken.add(takeOldest());
    }
    return taken;
  }

  private LogRecord takeOldest() {
    ArrayDeque<Queued> oldest = null;
    for (ArrayDeque<Queued> queue : recordsBySeverity) {
      if (!queue.isEmpty() && (oldest == null || firstSequence(queue) < firstSequence(oldest))) {
        oldest = queue;
      }
    }
    if (droppedRecords != null
        && (oldest == null || droppedRecords.firstSequence < firstSequence(oldest))) {
      LogRecord report = droppedRecords.toLogRecord();
      droppedRecords = null;
      return report;
    }
    return subtract(oldest.removeFirst()).logRecord();
  }

  private static long firstSequence(ArrayDeque<Queued> queue) {
    return queue.getFirst().sequence();
  }

  private Queued subtract(Queued removed) {
    lines--;
    bytes -= removed.bytes();
    return removed;
  }

  /** Returns whether there are neither records nor dropped records to report. */
  boolean isEmpty() {
    return lines == 0 && droppedRecords == null;
  }

  /** Returns whether half of the record or byte limit is used. */
  boolean isHalfFull() {
    return lines >= maxLines / 2 || bytes >= maxBytes / 2;
  }
}
