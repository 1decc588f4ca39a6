package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerMapRateLimiterTest {
  private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /**
   * While partitions moved, two entries held different maps of one generation. A side process took
   * each in turn, and told all entries its whole state each time, in every round trip. An entry
   * that was just heard must wait before it says the same again.
   */
  @Test
  void differingOwnerMapsAreSentAtALimitedRate() {
    OwnerMapRateLimiter<String> turns = new OwnerMapRateLimiter<>();
    int told = 0;
    for (long now = 0; now < 10 * OwnerMapRateLimiter.MIN_INTERVAL_NANOS; now += ROUND_TRIP_NANOS) {
      if (turns.maySend("side", now)) {
        turns.recordSent("side", now);
        told++;
      }
    }
    assertEquals(10, told);
  }

  @Test
  void newConnectionIsSentTheMapAtOnce() {
    OwnerMapRateLimiter<String> turns = new OwnerMapRateLimiter<>();
    turns.recordSent("side", 5);
    assertTrue(turns.maySend("other", 6));
    turns.remove("side");
    assertTrue(turns.maySend("side", 6));
  }
}
