package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerMapTurnsTest {
  private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /**
   * While partitions moved, two entries held different maps of one generation. A side process took
   * each in turn, and told all entries its whole state each time, in every round trip. An entry
   * that was just heard must wait before it says the same again.
   */
  @Test
  void twoEntriesWithDifferentMapsDoNotChaseEachOther() {
    OwnerMapTurns<String> turns = new OwnerMapTurns<>();
    int told = 0;
    for (long now = 0; now < 10 * OwnerMapTurns.SPACING_NANOS; now += ROUND_TRIP_NANOS) {
      if (turns.mayTell("side", now)) {
        turns.told("side", now);
        told++;
      }
    }
    assertEquals(10, told);
  }

  @Test
  void whoIsNewIsToldAtOnce() {
    OwnerMapTurns<String> turns = new OwnerMapTurns<>();
    turns.told("side", 5);
    assertTrue(turns.mayTell("other", 6));
    turns.forget("side");
    assertTrue(turns.mayTell("side", 6));
  }
}
