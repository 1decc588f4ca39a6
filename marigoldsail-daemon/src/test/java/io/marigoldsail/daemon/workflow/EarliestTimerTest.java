package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EarliestTimerTest {
  private final VirtualLoop time = new VirtualLoop();
  private final List<Long> runs = new ArrayList<>();
  private final EarliestTimer timer = new EarliestTimer(time.loop(), () -> runs.add(time.millis()));

  private void request(long millis) {
    timer.request(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /**
   * Guards against an entry where tasks wait for capacity that is reported to only when the entries
   * where none waits are due.
   */
  @Test
  void earlierRequestReplacesALaterOne() {
    request(1_500);
    time.advance(10);
    request(375);
    time.advance(2_000);
    assertEquals(List.of(375L), runs);
  }

  @Test
  void laterRequestIsCoveredByAnEarlierOne() {
    request(375);
    request(1_500);
    time.advance(2_000);
    assertEquals(List.of(375L), runs);
  }

  @Test
  void passedTimeRunsSoonAndOnce() {
    time.advance(50);
    request(20);
    time.advance(1);
    request(100);
    time.advance(100);
    assertEquals(List.of(51L, 100L), runs);
  }
}
