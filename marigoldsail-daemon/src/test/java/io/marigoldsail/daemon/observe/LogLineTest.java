package io.marigoldsail.daemon.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

final class LogLineTest {
  @Test
  void plainValuesAreNotQuoted() {
    LogLine line = LogLine.of("log-outage-began").with("stream", "tasks").with("offset", 7);
    assertEquals("event=log-outage-began stream=tasks offset=7", line.toString());
  }

  /**
   * Story: a caller names itself with a line feed and a forged event. Unescaped, the log would show
   * an event that never happened, and whatever reads the log would act on it.
   */
  @Test
  void callerCannotForgeEvent() {
    LogLine line = LogLine.of("refused").with("caller", "x\nevent=lease-lapsed vm=vm-1");
    assertEquals("event=refused caller=\"x\\nevent=lease-lapsed vm=vm-1\"", line.toString());
  }

  @Property(seed = "51")
  void anyValueIsOneValueOnOneLine(@ForAll String first, @ForAll String second) {
    String line = LogLine.of("e").with("a", first).with("b", second).toString();
    assertTrue(line.chars().noneMatch(Character::isISOControl), line);
    assertEquals(1, line.lines().count());
    List<String> keys = keys(line);
    assertEquals(List.of("event", "a", "b"), keys, line);
  }

  /**
   * Splits a line as its readers do: at spaces outside quotes, keys before the first equals sign.
   */
  private static List<String> keys(String line) {
    List<String> keys = new ArrayList<>();
    boolean quoted = false;
    int start = 0;
    for (int i = 0; i <= line.length(); i++) {
      char c = i == line.length() ? ' ' : line.charAt(i);
      if (c == '\\') {
        i++;
      } else if (c == '"') {
        quoted = !quoted;
      } else if (c == ' ' && !quoted) {
        String pair = line.substring(start, i);
        keys.add(pair.substring(0, pair.indexOf('=')));
        start = i + 1;
      }
    }
    return keys;
  }

  @Test
  void rejectsKeyWithSpace() {
    assertThrows(IllegalArgumentException.class, () -> LogLine.of("e").with("a b", 1));
  }

  @Test
  void formatterWritesLibraryMessagesAndErrorsOnOneLine() {
    LogRecord logRecord = new LogRecord(Level.WARNING, "two\nlines");
    logRecord.setLoggerName("org.example");
    logRecord.setInstant(java.time.Instant.EPOCH);
    logRecord.setThrown(new IllegalStateException("broken\nbadly"));
    String line = new KeyValueFormatter("vm-1").format(logRecord);
    assertEquals(1, line.lines().count(), line);
    assertTrue(
        line.startsWith(
            "time=1970-01-01T00:00:00.000Z level=warning process=vm-1 logger=org.example"
                + " event=log message=\"two\\nlines\""
                + " error=\"java.lang.IllegalStateException: broken\\nbadly\" at="),
        line);
  }

  @Test
  void formatterKeepsEventLineUnchanged() {
    LogRecord logRecord = new LogRecord(Level.INFO, LogLine.of("e").with("a", "{0}").toString());
    String line = new KeyValueFormatter("vm-1").format(logRecord);
    assertTrue(line.endsWith(" event=e a={0}\n"), line);
  }
}
