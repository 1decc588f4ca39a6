package io.marigoldsail.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class OutageRetryAfterTest {
  private static final long SEED = 20;
  private static final int CALLER_RETRIES = 4;

  private final OutageRetryAfter retryAfter = new OutageRetryAfter(new SplittableRandom(SEED));

  private static long seconds(double seconds) {
    return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
  }

  @Test
  void callersReturnSoonAtFirst() {
    assertEquals(1, retryAfter.recordFailure(0));
    assertEquals(1, retryAfter.recordFailure(seconds(1.9)));
    assertEquals(1_900, retryAfter.ageMillis(seconds(1.9)));
  }

  @Test
  void nextOutageBeginsAnew() {
    retryAfter.recordFailure(0);
    retryAfter.recordSuccess();
    assertEquals(0, retryAfter.ageMillis(seconds(5)));
    assertEquals(1, retryAfter.recordFailure(seconds(5)));
  }

  /** Guards against a single refusal that counts as an outage until the next submission. */
  @Test
  void refusalLongAfterTheLastOneBeginsAnew() {
    retryAfter.recordFailure(0);
    assertEquals(1, retryAfter.recordFailure(OutageRetryAfter.QUIET_NANOS + 1));
  }

  /** Guards against callers that have used up their retries before the store is back. */
  @Test
  void callersOutlastAnOutageOfSeconds() {
    double outage = 6;
    for (double arrival = 0; arrival < outage; arrival += 0.1) {
      OutageRetryAfter each = new OutageRetryAfter(new SplittableRandom(SEED));
      each.recordFailure(0);
      double at = arrival;
      for (int retry = 0; retry < CALLER_RETRIES && at < outage; retry++) {
        at += each.recordFailure(seconds(at));
      }
      assertTrue(at >= outage, "arrived at " + arrival + " s, last call at " + at + " s");
    }
  }

  /** Guards against callers of a long outage that return together. */
  @Test
  void callersOfALongOutageAreSpread() {
    for (int second = 0; second < 60; second++) {
      retryAfter.recordFailure(seconds(second));
    }
    Set<Integer> times = new HashSet<>();
    for (int caller = 0; caller < 50; caller++) {
      times.add(retryAfter.recordFailure(seconds(60)));
    }
    assertEquals(Set.of(OutageRetryAfter.MAX_SECONDS, OutageRetryAfter.MAX_SECONDS + 1), times);
  }
}
