package io.marigoldsail.daemon.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class LogWriterTest {
  private final BlockingOutputStream stream = new BlockingOutputStream();
  private final LogWriter writer = LogWriter.start("vm-1", stream.asPrintStream());

  @AfterEach
  void release() {
    stream.release();
  }

  private static LogRecord logRecord(Level level, String message, Object... parameters) {
    LogRecord logRecord = new LogRecord(level, message);
    logRecord.setLoggerName("a");
    logRecord.setInstant(Instant.EPOCH);
    logRecord.setParameters(parameters.length == 0 ? null : parameters);
    return logRecord;
  }

  private void log(String thread, int number) {
    LogLine line = LogLine.of("e").with("thread", thread).with("n", number);
    writer.publish(logRecord(Level.INFO, line.toString()));
  }

  private boolean releaseAndAwaitWritten() {
    stream.release();
    return writer.awaitWritten(System.nanoTime() + TimeUnit.SECONDS.toNanos(20));
  }

  private static List<String> expected(String thread, int from, int until) {
    List<String> lines = new ArrayList<>();
    for (int n = from; n < until; n++) {
      lines.add(
          "time=1970-01-01T00:00:00.000Z level=info process=vm-1 logger=a event=e thread=%s n=%d"
              .formatted(thread, n));
    }
    return lines;
  }

  /** Guards against a standard output that nobody reads and that stops whoever logs. */
  @Test
  void blockedStreamDelaysNoCallerAndDroppedLinesAreReported() {
    log("t", 0);
    assertTrue(stream.awaitBlockedWrite());
    int all = 3 * LogWriter.MAX_QUEUED_LINES;
    for (int n = 1; n < all; n++) {
      log("t", n);
    }
    writer.publish(logRecord(Level.SEVERE, "event=broken"));
    assertFalse(stream.isTimedOut());
    assertEquals(List.of(), stream.lines());
    assertTrue(releaseAndAwaitWritten());
    List<String> lines = stream.lines();
    int kept = LogWriter.MAX_QUEUED_LINES - 1;
    assertEquals(expected("t", 0, kept + 1), lines.subList(0, kept + 1));
    int dropped = all - kept - 1;
    assertTrue(
        lines
            .get(kept + 1)
            .endsWith(
                "event=log-lines-dropped error=0 warning=0 info="
                    + dropped
                    + " since=1970-01-01T00:00:00Z"),
        lines.get(kept + 1));
    assertTrue(lines.get(kept + 2).endsWith("event=broken"));
    assertEquals(kept + 3, lines.size());
  }

  /** Guards against lines of one thread that change places on their way. */
  @Test
  void linesOfEachThreadKeepTheirOrder() throws InterruptedException {
    int each = LogWriter.MAX_QUEUED_LINES / 8;
    List<Thread> threads = new ArrayList<>();
    for (int t = 0; t < 4; t++) {
      String name = "t" + t;
      threads.add(
          new Thread(
              () -> {
                for (int n = 0; n < each; n++) {
                  log(name, n);
                }
              }));
    }
    threads.forEach(Thread::start);
    stream.release();
    for (Thread thread : threads) {
      thread.join();
    }
    assertTrue(releaseAndAwaitWritten());
    for (int t = 0; t < 4; t++) {
      String name = "t" + t;
      assertEquals(
          expected(name, 0, each),
          stream.lines().stream().filter(line -> line.contains("thread=" + name + " ")).toList());
    }
  }

  /** Guards against a planned stop that halts before its last lines are written. */
  @Test
  void closeWritesAllLoggedLines() {
    stream.release();
    for (int n = 0; n < 500; n++) {
      log("t", n);
    }
    writer.close();
    assertEquals(expected("t", 0, 500), stream.lines());
    log("t", 500);
    writer.close();
    assertEquals(expected("t", 0, 501), stream.lines());
  }

  /** Guards against a planned stop that waits for a stream that nobody reads. */
  @Test
  void awaitWrittenReturnsAtDeadline() {
    log("t", 0);
    assertTrue(stream.awaitBlockedWrite());
    assertFalse(writer.awaitWritten(System.nanoTime() - 1));
    writer.close();
    assertFalse(stream.isTimedOut());
  }

  /** Guards against a line that shows what its parameters and its error have become since. */
  @Test
  void linesShowStateAtTimeOfLogging() {
    StringBuilder parameter = new StringBuilder("before");
    IllegalStateException error = new IllegalStateException("before");
    LogRecord thrown = logRecord(Level.INFO, "event=e");
    thrown.setThrown(error);
    writer.publish(logRecord(Level.INFO, "it is {0}", parameter));
    writer.publish(thrown);
    parameter.replace(0, parameter.length(), "after");
    error.setStackTrace(new StackTraceElement[0]);
    assertTrue(releaseAndAwaitWritten());
    assertTrue(stream.lines().get(0).endsWith("event=log message=\"it is before\""));
    assertTrue(stream.lines().get(1).contains("LogWriterTest"), stream.lines().get(1));
  }
}
