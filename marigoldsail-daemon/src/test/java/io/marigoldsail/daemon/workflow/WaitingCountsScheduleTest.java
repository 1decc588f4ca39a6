package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class WaitingCountsScheduleTest {
  private final WaitingCountsSchedule schedule = new WaitingCountsSchedule();

  /** Guards against entries that send one another the same numbers all the time. */
  @Test
  void unchangedNumbersAreSentAtEveryFourthTick() {
    long sent = IntStream.range(0, 40).filter(tick -> schedule.isDue(Map.of("q", 1))).count();
    assertEquals(40 / WaitingCountsSchedule.REPEAT_TICKS, sent);
  }

  /** Guards against a number of waiting workflows that peers hear of late. */
  @Test
  void changedNumbersAreSentAtTheNextTick() {
    assertTrue(schedule.isDue(Map.of()));
    assertFalse(schedule.isDue(Map.of()));
    assertTrue(schedule.isDue(Map.of("q", 1)));
    assertFalse(schedule.isDue(Map.of("q", 1)));
    assertTrue(schedule.isDue(Map.of()));
  }

  @Test
  void numbersAreSentAtTheNextTickAfterAPeerConnected() {
    assertTrue(schedule.isDue(Map.of("q", 1)));
    assertFalse(schedule.isDue(Map.of("q", 1)));
    schedule.peerConnected();
    assertTrue(schedule.isDue(Map.of("q", 1)));
  }

  /** Guards against numbers that peers drop as outdated before they are sent again. */
  @Test
  void unchangedNumbersAreRepeatedWellBeforeTheyAreDropped() {
    long interval = WaitingCountsSchedule.REPEAT_TICKS * WorkflowEntry.COUNTS_INTERVAL_NANOS;
    assertTrue(2 * interval < EntryPeers.COUNTS_TTL_NANOS, interval + " ns");
  }
}
