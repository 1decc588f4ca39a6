package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TransitDelayTest {
  private static final long SECOND = 1_000_000_000L;

  private final TransitDelay delay = new TransitDelay();

  @Test
  void usualWayIsNoDelayWhateverTheClocksShow() {
    assertEquals(0, delay.excess(5 * SECOND, -70 * SECOND));
    assertEquals(0, delay.excess(6 * SECOND, -69 * SECOND));
  }

  /** A frame that was in a socket buffer while this process was frozen for ten seconds. */
  @Test
  void timeInBuffersIsCounted() {
    delay.excess(0, 100);

    assertEquals(10 * SECOND, delay.excess(SECOND, 11 * SECOND + 100));
  }

  @Test
  void shorterWayIsLearntAtOnce() {
    delay.excess(0, 500);

    assertEquals(0, delay.excess(1_000, 1_100));
    assertEquals(400, delay.excess(2_000, 2_500));
  }

  /**
   * Clocks that drift by a millisecond per minute must not accumulate an offset of seconds over a
   * day.
   */
  @Test
  void driftIsForgottenAfterTwoPeriods() {
    long excess = 0;
    for (long minute = 0; minute < 24 * 60; minute++) {
      long sentAt = minute * 60 * SECOND;
      excess = delay.excess(sentAt, sentAt + minute * 1_000_000);
    }

    assertEquals(1_000_000, excess);
  }
}
