package io.marigoldsail.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TailWindowTest {
  private static final long MILLI = 1_000_000;

  private final TailWindow window = new TailWindow(1_000 * MILLI);

  @Test
  void computesTheTailOfRecentAnswers() {
    for (int millis = 1; millis <= 100; millis++) {
      window.add(millis * MILLI, 0);
    }

    ServiceReading reading = window.reading(50, 10 * MILLI).orElseThrow();
    assertEquals(99, reading.tailMillis());
    assertEquals(1.98, reading.pressure(), 1e-9);
    assertTrue(window.reading(50, 1_000 * MILLI).isEmpty());
  }

  @Test
  void returnsEmptyForTooFewAnswers() {
    for (int i = 0; i < 19; i++) {
      window.add(MILLI, 0);
    }

    assertTrue(window.reading(50, 0).isEmpty());
  }

  @Test
  void keepsTheNewestAnswers() {
    for (int i = 0; i < 10_000; i++) {
      window.add(i < 9_000 ? 100 * MILLI : MILLI, 0);
    }

    assertEquals(1, window.reading(50, 0).orElseThrow().tailMillis());
  }
}
