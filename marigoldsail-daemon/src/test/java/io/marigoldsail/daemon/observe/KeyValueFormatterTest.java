package io.marigoldsail.daemon.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class KeyValueFormatterTest {
  private static final int LINES = 2_000;

  /** The most that one line of {@link #line} may allocate. */
  private static final long MAX_BYTES_PER_LINE = 4_096;

  private final KeyValueFormatter formatter = new KeyValueFormatter("edge 1");

  private static LogRecord logRecord(Instant at, String message) {
    LogRecord logged = new LogRecord(Level.INFO, message);
    logged.setInstant(at);
    logged.setLoggerName("a.Logger");
    return logged;
  }

  private String format(String instant, String message) {
    return formatter.format(logRecord(Instant.parse(instant), message));
  }

  private static LogLine line(int number) {
    return LogLine.of("run-ended")
        .with("run", "3f/0/1/2#" + number)
        .with("vm", "vm-17")
        .with("outcome", "DONE")
        .with("reason", "listed by the worker")
        .with("ms", 914)
        .with("status", "RUNNING");
  }

  @Test
  void timesAlwaysHaveMilliseconds() {
    String rest = " level=info process=\"edge 1\" logger=a.Logger event=x\n";
    assertEquals(
        "time=2026-12-03T10:00:00.007Z" + rest, format("2026-12-03T10:00:00.007900Z", "event=x"));
    assertEquals("time=2026-12-03T10:00:00.000Z" + rest, format("2026-12-03T10:00:00Z", "event=x"));
  }

  /** The time of day may be set back; a line must not keep the second of the one before. */
  @Test
  void timesFollowClockThatIsSetBack() {
    format("2026-12-03T10:00:05.100Z", "event=x");
    assertTrue(
        format("2026-12-03T09:59:59.999Z", "event=x").startsWith("time=2026-12-03T09:59:59.999Z "));
    assertTrue(
        format("1969-12-31T23:59:59.250Z", "event=x").startsWith("time=1969-12-31T23:59:59.250Z "));
  }

  @Test
  void plainMessageBecomesLogEvent() {
    assertTrue(
        format("2026-12-03T10:00:00Z", "two words").endsWith(" event=log message=\"two words\"\n"));
  }

  /** A line of an order or an end allocated 9 KB, most of it for streams over its characters. */
  @Test
  void formattingAllocatesLittleMemory() {
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    Instant at = Instant.parse("2026-12-03T10:00:00.007Z");
    formatter.format(logRecord(at, line(0).toString()));
    long before = threads.getCurrentThreadAllocatedBytes();
    for (int i = 0; i < LINES; i++) {
      formatter.format(logRecord(at, line(i).toString()));
    }
    long each = (threads.getCurrentThreadAllocatedBytes() - before) / LINES;
    assertTrue(each <= MAX_BYTES_PER_LINE, each + " bytes a line");
  }
}
