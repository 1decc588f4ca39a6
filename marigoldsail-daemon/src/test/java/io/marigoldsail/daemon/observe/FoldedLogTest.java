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

class FoldedLogTest {
  private static final long SPAN = 1_000;

  /** Runs scheduled tasks when its time is advanced. */
  private static final class FakeTimer implements FoldedLog.Timer {
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
  private final FoldedLog log = new FoldedLog(line -> written.add(line.toString()), timer, SPAN);

  private void tell(String kind, int number) {
    log.tell(kind, LogLine.of("over").with("reason", kind).with("run", number));
  }

  @Test
  void theFirstOfAKindIsWrittenAtOnceAndTheRestAsOne() {
    tell("room", 1);
    assertEquals(List.of("event=over reason=room run=1"), written);
    tell("room", 2);
    tell("room", 3);
    tell("room", 4);
    assertEquals(1, written.size());
    timer.advanceTo(SPAN);
    assertEquals("event=over reason=room run=4 folded=3", written.get(1));
    timer.advanceTo(10 * SPAN);
    assertEquals(2, written.size());
  }

  @Test
  void aLoneSecondLineIsWrittenAsItIs() {
    tell("room", 1);
    tell("room", 2);
    timer.advanceTo(SPAN);
    assertEquals("event=over reason=room run=2", written.get(1));
  }

  @Test
  void kindsAreFoldedApart() {
    tell("room", 1);
    tell("leaves", 2);
    tell("room", 3);
    tell("leaves", 4);
    tell("leaves", 5);
    assertEquals(2, written.size());
    timer.advanceTo(SPAN);
    assertEquals(
        List.of("event=over reason=room run=3", "event=over reason=leaves run=5 folded=2"),
        written.subList(2, 4).stream().sorted(Comparator.comparing(String::length)).toList());
  }

  @Test
  void aKindThatWasQuietForASpanBeginsAnew() {
    tell("room", 1);
    timer.advanceTo(SPAN + 1);
    tell("room", 2);
    assertEquals(2, written.size());
  }

  /** A kind that repeats for 60 windows writes one line per window, and counts include all lines. */
  @Test
  void aKindThatGoesOnHasOneLineASpanAndEveryLineIsCounted() {
    int logged = 0;
    for (long now = 0; now < 60 * SPAN; now += SPAN / 25) {
      timer.advanceTo(now);
      tell("room", ++logged);
    }
    timer.advanceTo(100 * SPAN);
    assertTrue(written.size() <= 61, written.size() + " lines");
    assertEquals(logged, written.stream().mapToInt(FoldedLogTest::standsFor).sum());
  }

  @Test
  void kindsBeyondTheBoundAreFoldedTogether() {
    for (int kind = 0; kind < 3 * FoldedLog.MOST_KINDS; kind++) {
      tell("kind-" + kind, kind);
    }
    assertEquals(FoldedLog.MOST_KINDS + 1, written.size());
    timer.advanceTo(SPAN);
    assertEquals(
        3 * FoldedLog.MOST_KINDS, written.stream().mapToInt(FoldedLogTest::standsFor).sum());
  }

  @Test
  void rejectsWhatIsNoKindOrSpan() {
    assertThrows(IllegalArgumentException.class, () -> tell("", 1));
    assertThrows(IllegalArgumentException.class, () -> new FoldedLog(line -> {}, timer, 0));
  }

  private static int standsFor(String line) {
    Matcher folded = Pattern.compile("folded=(\\d+)").matcher(line);
    return folded.find() ? Integer.parseInt(folded.group(1)) : 1;
  }
}
