package io.marigoldsail.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TransitDelayTest {
  private static final long SECOND = 1_000_000_000L;

  private final TransitDelay delay = new TransitDelay();

  @Test
  void usualTransitTimeCountsAsZeroDelay() {
    assertEquals(0, delay.excessNanos(5 * SECOND, -70 * SECOND));
    assertEquals(0, delay.excessNanos(6 * SECOND, -69 * SECOND));
  }

  /** A frame that lay in a socket while this process was frozen for ten seconds. */
  @Test
  void bufferedTimeIsCounted() {
    delay.excessNanos(0, 100);

    assertEquals(10 * SECOND, delay.excessNanos(SECOND, 11 * SECOND + 100));
  }

  @Test
  void shorterTransitTimeBecomesTheBaselineAtOnce() {
    delay.excessNanos(0, 500);

    assertEquals(0, delay.excessNanos(1_000, 1_100));
    assertEquals(400, delay.excessNanos(2_000, 2_500));
  }

  /** Clocks that drift by a millisecond a minute must not add up to seconds over a day. */
  @Test
  void clockDriftDoesNotAccumulate() {
    long excess = 0;
    for (long minute = 0; minute < 24 * 60; minute++) {
      long sentAt = minute * 60 * SECOND;
      excess = delay.excessNanos(sentAt, sentAt + minute * 1_000_000);
    }

    assertEquals(1_000_000, excess);
  }
}
