package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerMapTurnsTest {
  private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /**
   * While partitions moved, two entries held different owner maps of one generation. A side process
   * applied them alternately and reported its whole state to all entries in every round trip. An
   * entry must wait before it sends the same map again.
   */
  @Test
  void twoEntriesWithDifferentMapsDoNotChaseEachOther() {
    OwnerMapTurns<String> limiter = new OwnerMapTurns<>();
    int sent = 0;
    for (long now = 0; now < 10 * OwnerMapTurns.SPACING_NANOS; now += ROUND_TRIP_NANOS) {
      if (limiter.mayTell("side", now)) {
        limiter.told("side", now);
        sent++;
      }
    }
    assertEquals(10, sent);
  }

  @Test
  void whoIsNewIsToldAtOnce() {
    OwnerMapTurns<String> limiter = new OwnerMapTurns<>();
    limiter.told("side", 5);
    assertTrue(limiter.mayTell("other", 6));
    limiter.forget("side");
    assertTrue(limiter.mayTell("side", 6));
  }
}
