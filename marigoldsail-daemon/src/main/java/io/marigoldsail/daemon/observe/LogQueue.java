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
 * The records that wait to be written: bounded in lines and in bytes, in the order they came.
 *
 * <p>A record that has no room takes that of the youngest record of a lower rank, errors before
 * warnings before the rest; without one it is dropped itself. What is dropped is counted by rank
 * and told by one record, which {@link #take} returns in the place of the first that is missing.
 *
 * <p>Not safe for threads. Rejects nulls.
 */
final class LogQueue {
  /** Counted for each record beside its text: the record itself and its place here, in bytes. */
  static final int RECORD_OVERHEAD_BYTES = 128;

  private static final int BYTES_PER_CHARACTER = 2;

  /** What is dropped last comes first. */
  enum Severity {
    /** What an operator must look at. */
    ERROR,
    /** What the system got over. */
    WARNING,
    /** All else. */
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

  /** What is missing between two records that were taken. */
  private static final class DroppedRecords {
    private final int[] countBySeverity = new int[Severity.values().length];
    private long firstSequence = Long.MAX_VALUE;
    private Instant since = Instant.MAX;
    private Instant until = Instant.MIN;

    void add(Queued missing) {
      countBySeverity[Severity.of(missing.logRecord()).ordinal()]++;
      firstSequence = Math.min(firstSequence, missing.sequence());
      Instant time = missing.logRecord().getInstant();
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
      LogRecord told = new LogRecord(Level.WARNING, line.toString());
      told.setLoggerName(LogWriter.class.getName());
      told.setInstant(until);
      return told;
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
   * @param mostLines how many records wait at most
   * @param mostBytes how much memory they take at most, by {@link #bytes}
   */
  LogQueue(int mostLines, int mostBytes) {
    checkArgument(mostLines > 0, "mostLines is not positive: %s", mostLines);
    checkArgument(mostBytes > 0, "mostBytes is not positive: %s", mostBytes);
    this.maxLines = mostLines;
    this.maxBytes = mostBytes;
    this.recordsBySeverity =
        ImmutableList.of(new ArrayDeque<>(), new ArrayDeque<>(), new ArrayDeque<>());
  }

  /** Returns the memory that a record is counted with, in bytes. */
  static int bytes(LogRecord logRecord) {
    return RECORD_OVERHEAD_BYTES + BYTES_PER_CHARACTER * logRecord.getMessage().length();
  }

  /** Adds a record behind all others, or drops it, or drops others for it. */
  void add(LogRecord logRecord) {
    Queued added = new Queued(nextSequence++, logRecord, bytes(logRecord));
    Severity rank = Severity.of(logRecord);
    while (lines + 1 > maxLines || added.bytes() > maxBytes - bytes) {
      if (added.bytes() > maxBytes || !dropLowerSeverity(rank)) {
        drop(added);
        return;
      }
    }
    recordsBySeverity.get(rank.ordinal()).addLast(added);
    lines++;
    bytes += added.bytes();
  }

  private boolean dropLowerSeverity(Severity rank) {
    for (int lower = Severity.INFO.ordinal(); lower > rank.ordinal(); lower--) {
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

  /** Returns the oldest records, at most so many, and removes them. */
  List<LogRecord> take(int most) {
    List<LogRecord> taken = new ArrayList<>(Math.min(most, lines + 1));
    while (taken.size() < most && !isEmpty()) {
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
      LogRecord told = droppedRecords.toLogRecord();
      droppedRecords = null;
      return told;
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

  /** Returns whether there is nothing to take. */
  boolean isEmpty() {
    return lines == 0 && droppedRecords == null;
  }

  /** Returns whether half of the room is taken. */
  boolean isHalfFull() {
    return lines >= maxLines / 2 || bytes >= maxBytes / 2;
  }
}
