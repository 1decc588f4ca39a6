package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OwnerMapRateLimiterTest {
  private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /**
   * While partitions moved, two entries held different owner maps of one generation. A side process
   * applied them alternately and reported its whole state to all entries in every round trip. An
   * entry must wait before it sends the same map again.
   */
  @Test
  void differingOwnerMapsAreSentAtALimitedRate() {
    OwnerMapRateLimiter<String> limiter = new OwnerMapRateLimiter<>();
    int sent = 0;
    for (long now = 0; now < 10 * OwnerMapRateLimiter.MIN_INTERVAL_NANOS; now += ROUND_TRIP_NANOS) {
      if (limiter.maySend("side", now)) {
        limiter.recordSent("side", now);
        sent++;
      }
    }
    assertEquals(10, sent);
  }

  @Test
  void newConnectionIsSentTheMapAtOnce() {
    OwnerMapRateLimiter<String> limiter = new OwnerMapRateLimiter<>();
    limiter.recordSent("side", 5);
    assertTrue(limiter.maySend("other", 6));
    limiter.remove("side");
    assertTrue(limiter.maySend("side", 6));
  }
}
