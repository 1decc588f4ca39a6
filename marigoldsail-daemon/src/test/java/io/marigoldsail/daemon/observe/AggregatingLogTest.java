package io.marigoldsail.daemon.observe;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

class AggregatingLogTest {
  private static final long WINDOW_NANOS = 1_000;

  /** Runs what is due when its time is moved on. */
  private static final class FakeTimer implements AggregatingLog.Timer {
    private record Due(long at, Runnable task) {}

    private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private long now;

    @Override
    public void schedule(Runnable task, long delayNanos) {
      due.add(new Due(now + delayNanos, task));
    }

    void advanceTo(long time) {
      while (!due.isEmpty() && due.peek().at() <= time) {
        Due next = due.remove();
        now = next.at();
        next.task().run();
      }
      now = time;
    }
  }

  private final FakeTimer timer = new FakeTimer();
  private final List<String> written = new ArrayList<>();
  private final AggregatingLog log =
      new AggregatingLog(line -> written.add(line.toString()), timer, WINDOW_NANOS);

  private void log(String kind, int number) {
    log.log(kind, LogLine.of("over").with("reason", kind).with("run", number));
  }

  @Test
  void firstLineIsWrittenAtOnceAndRestAsOneLine() {
    log("room", 1);
    assertEquals(List.of("event=over reason=room run=1"), written);
    log("room", 2);
    log("room", 3);
    log("room", 4);
    assertEquals(1, written.size());
    timer.advanceTo(WINDOW_NANOS);
    assertEquals("event=over reason=room run=4 folded=3", written.get(1));
    timer.advanceTo(10 * WINDOW_NANOS);
    assertEquals(2, written.size());
  }

  @Test
  void singleRepeatedLineIsWrittenUnchanged() {
    log("room", 1);
    log("room", 2);
    timer.advanceTo(WINDOW_NANOS);
    assertEquals("event=over reason=room run=2", written.get(1));
  }

  @Test
  void kindsAreAggregatedSeparately() {
    log("room", 1);
    log("leaves", 2);
    log("room", 3);
    log("leaves", 4);
    log("leaves", 5);
    assertEquals(2, written.size());
    timer.advanceTo(WINDOW_NANOS);
    assertEquals(
        List.of("event=over reason=room run=3", "event=over reason=leaves run=5 folded=2"),
        written.subList(2, 4).stream().sorted(Comparator.comparing(String::length)).toList());
  }

  @Test
  void lineAfterIdleWindowIsWrittenAtOnce() {
    log("room", 1);
    timer.advanceTo(WINDOW_NANOS + 1);
    log("room", 2);
    assertEquals(2, written.size());
  }

  /** Refusals for a minute on end: one line a span, and none is lost from the count. */
  @Test
  void continuousKindHasOneLinePerWindowAndAllLinesAreCounted() {
    int told = 0;
    for (long now = 0; now < 60 * WINDOW_NANOS; now += WINDOW_NANOS / 25) {
      timer.advanceTo(now);
      log("room", ++told);
    }
    timer.advanceTo(100 * WINDOW_NANOS);
    assertTrue(written.size() <= 61, written.size() + " lines");
    assertEquals(told, written.stream().mapToInt(AggregatingLogTest::aggregatedLines).sum());
  }

  @Test
  void kindsBeyondLimitAreAggregatedTogether() {
    for (int kind = 0; kind < 3 * AggregatingLog.MAX_KINDS; kind++) {
      log("kind-" + kind, kind);
    }
    assertEquals(AggregatingLog.MAX_KINDS + 1, written.size());
    timer.advanceTo(WINDOW_NANOS);
    assertEquals(
        3 * AggregatingLog.MAX_KINDS,
        written.stream().mapToInt(AggregatingLogTest::aggregatedLines).sum());
  }

  @Test
  void rejectsEmptyKindAndZeroWindow() {
    assertThrows(IllegalArgumentException.class, () -> log("", 1));
    assertThrows(IllegalArgumentException.class, () -> new AggregatingLog(line -> {}, timer, 0));
  }

  private static int aggregatedLines(String line) {
    Matcher folded = Pattern.compile("folded=(\\d+)").matcher(line);
    return folded.find() ? Integer.parseInt(folded.group(1)) : 1;
  }
}
