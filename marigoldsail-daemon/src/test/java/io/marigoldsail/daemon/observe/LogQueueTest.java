package io.marigoldsail.daemon.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

final class LogQueueTest {
  private static final int MAX_LINES = 4;
  private static final int AMPLE_BYTES = 1 << 20;

  private final LogQueue queue = new LogQueue(MAX_LINES, AMPLE_BYTES);
  private long seconds;

  private LogRecord logRecord(Level level, String message) {
    LogRecord logRecord = new LogRecord(level, message);
    logRecord.setInstant(Instant.ofEpochSecond(++seconds));
    return logRecord;
  }

  private void add(LogQueue to, Level level, String... messages) {
    for (String message : messages) {
      to.add(logRecord(level, message));
    }
  }

  private static List<String> takeAll(LogQueue from) {
    return from.take(Integer.MAX_VALUE - 1).stream().map(LogRecord::getMessage).toList();
  }

  private static String droppedLine(int errors, int warnings, int infos, int since) {
    return "event=log-lines-dropped error=%d warning=%d info=%d since=%s"
        .formatted(errors, warnings, infos, Instant.ofEpochSecond(since));
  }

  /** Guards against lines of one thread written in another order, ranks apart. */
  @Test
  void orderIsKeptAcrossSeverities() {
    add(queue, Level.INFO, "1");
    add(queue, Level.SEVERE, "2");
    add(queue, Level.INFO, "3");
    add(queue, Level.WARNING, "4");
    assertEquals(List.of("1", "2"), queue.take(2).stream().map(LogRecord::getMessage).toList());
    assertEquals(List.of("3", "4"), takeAll(queue));
    assertTrue(queue.isEmpty());
  }

  /** Guards against a gap that nobody can see or place: it is told where lines are missing. */
  @Test
  void droppedRecordsAreReportedOnceAtTheirPosition() {
    add(queue, Level.INFO, "1", "2", "3", "4", "5", "6");
    assertEquals(List.of("1"), queue.take(1).stream().map(LogRecord::getMessage).toList());
    add(queue, Level.INFO, "7");
    List<LogRecord> taken = queue.take(100);
    assertEquals(
        List.of("2", "3", "4", droppedLine(0, 0, 2, 5), "7"),
        taken.stream().map(LogRecord::getMessage).toList());
    assertEquals(Instant.ofEpochSecond(6), taken.get(3).getInstant());
    assertEquals(Level.WARNING, taken.get(3).getLevel());
    assertTrue(queue.isEmpty());
  }

  /** Guards against a gap at the end that stays untold because no line follows. */
  @Test
  void droppedRecordsAtEndAreReported() {
    add(queue, Level.INFO, "1", "2", "3", "4", "5");
    assertEquals(
        List.of("1", "2", "3", "4"), queue.take(4).stream().map(LogRecord::getMessage).toList());
    assertFalse(queue.isEmpty());
    assertEquals(List.of(droppedLine(0, 0, 1, 5)), takeAll(queue));
  }

  /** Guards against lines of info that crowd out what an operator must look at. */
  @Test
  void lowerSeveritiesAreDroppedFirst() {
    add(queue, Level.INFO, "i1", "i2", "i3", "i4");
    add(queue, Level.WARNING, "w5", "w6", "w7", "w8", "w9");
    add(queue, Level.SEVERE, "e10");
    add(queue, Level.INFO, "i11");
    assertEquals(List.of(droppedLine(0, 2, 5, 1), "w5", "w6", "w7", "e10"), takeAll(queue));
  }

  /** Guards against an error dropped while anything less waits, and errors dropped uncounted. */
  @Test
  void errorsAreDroppedOnlyForErrors() {
    add(queue, Level.SEVERE, "e1", "e2", "e3", "e4", "e5");
    add(queue, Level.WARNING, "w6");
    assertEquals(List.of("e1", "e2", "e3", "e4", droppedLine(1, 1, 0, 5)), takeAll(queue));
  }

  /** Guards against few long lines that take all memory, and one that is longer than the room. */
  @Test
  void memoryIsBounded() {
    int bytes = 3 * LogQueue.RECORD_OVERHEAD_BYTES;
    LogQueue small = new LogQueue(1_000, bytes);
    String long1 = "x".repeat(LogQueue.RECORD_OVERHEAD_BYTES / 2);
    add(small, Level.INFO, long1, "y", "z");
    add(small, Level.SEVERE, "x".repeat(bytes));
    assertEquals(List.of(long1, droppedLine(1, 0, 2, 2)), takeAll(small));
    add(small, Level.INFO, "later");
    assertEquals(List.of("later"), takeAll(small));
  }

  /** Guards against room that is not given back, and lines neither written nor counted. */
  @Test
  void everyLineIsTakenOrCounted() {
    Random random = new Random(11);
    Level[] levels = {Level.INFO, Level.WARNING, Level.SEVERE};
    LogQueue small = new LogQueue(20, 4_000);
    List<LogRecord> taken = new ArrayList<>();
    int added = 10_000;
    for (int i = 0; i < added; i++) {
      add(small, levels[random.nextInt(levels.length)], "m".repeat(random.nextInt(60)));
      if (random.nextInt(5) == 0) {
        taken.addAll(small.take(random.nextInt(9)));
      }
    }
    taken.addAll(small.take(added));
    int counted = 0;
    int gaps = 0;
    for (LogRecord each : taken) {
      if (each.getMessage().startsWith("event=log-lines-dropped")) {
        gaps++;
        counted += droppedCount(each.getMessage());
      }
    }
    assertTrue(gaps > 1, gaps + " gaps");
    assertEquals(added, taken.size() - gaps + counted);
    add(small, Level.INFO, "1", "2");
    assertEquals(List.of("1", "2"), takeAll(small));
  }

  private static int droppedCount(String told) {
    int sum = 0;
    for (String pair : told.split(" ", -1)) {
      String value = pair.substring(pair.indexOf('=') + 1);
      sum += value.chars().allMatch(Character::isDigit) ? Integer.parseInt(value) : 0;
    }
    return sum;
  }

  @Test
  void rejectsNonPositiveLimits() {
    assertThrows(IllegalArgumentException.class, () -> new LogQueue(0, 1));
    assertThrows(IllegalArgumentException.class, () -> new LogQueue(1, 0));
  }
}
