package io.marigoldsail.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.admission.AdmissionPolicy.QueueState;
import io.marigoldsail.admission.AdmissionPolicy.Verdict;
import org.junit.jupiter.api.Test;

class AdmissionPolicyTest {
  private static final long MILLI = 1_000_000;
  private static final long SPARE = 900 * MILLI;
  private static final long TARGET_DELAY = 20 * MILLI;

  private final AdmissionPolicy policy = new AdmissionPolicy();

  private static QueueState ahead(int requests) {
    return new QueueState(
        requests, requests, requests, false, true, 1_000, TARGET_DELAY, 10_000, SPARE);
  }

  // A burst of ten times the usual load within half a second. All requests can be answered before
  // their deadline of one second; a bound on the delay would refuse most of them.
  @Test
  void admitsABurstThatFitsItsDeadline() {
    assertEquals(Verdict.WAIT, policy.decide(ahead(800), 0));
    assertEquals(Verdict.WAIT, policy.decide(ahead(800), 500 * MILLI));
    assertEquals(Verdict.FULL, policy.decide(ahead(950), 500 * MILLI));
  }

  // Once the queue was long for a second, more queued requests only wait longer and raise no
  // throughput.
  @Test
  void boundsTheWaitAfterOneSecondAboveTheTargetDelay() {
    overload();
    assertEquals(Verdict.FULL, policy.decide(ahead(100), 1_100 * MILLI));
    assertEquals(Verdict.WAIT, policy.decide(ahead(15), 1_100 * MILLI));
  }

  // During lasting overload the queue repeatedly falls below the target delay. If that ended
  // overload, the queue would grow to a second each time.
  @Test
  void staysOverloadedWhileRequestsAreRefused() {
    overload();
    for (long millis = 1_000; millis < 10_000; millis += 500) {
      policy.decide(ahead(0), millis * MILLI);
      assertEquals(Verdict.FULL, policy.decide(ahead(100), millis * MILLI));
    }
    policy.decide(ahead(0), 11_000 * MILLI);
    assertFalse(policy.isOverloaded());
  }

  // A hot caller keeps the queue at the target delay; the first request of a quiet caller may wait
  // longer.
  @Test
  void allowsALongerWaitToACallerWithoutBacklog() {
    overload();
    QueueState quiet = new QueueState(30, 30, 30, false, false, 1_000, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.FULL, policy.decide(ahead(30), 1_100 * MILLI));
    assertEquals(Verdict.WAIT, policy.decide(quiet, 1_100 * MILLI));
  }

  // During lasting overload a backlogged request has ten requests before it, but later requests
  // with an earlier start time overtake it. Without counting them it was admitted for a target
  // delay of 20 ms and waited 87 ms.
  @Test
  void countsLaterRequestsThatOvertakeDuringOverload() {
    QueueState overtaken =
        new QueueState(30, 10, 100, false, true, 1_000, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.WAIT, policy.decide(overtaken, 0));
    overload();
    assertEquals(Verdict.FULL, policy.decide(overtaken, 1_100 * MILLI));
  }

  @Test
  void reportsACallerOverItsFairShare() {
    QueueState hot = new QueueState(950, 950, 950, true, true, 1_000, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.OVER_SHARE, policy.decide(hot, 0));
  }

  @Test
  void refusesBeyondMaxWaiting() {
    QueueState full = new QueueState(10_000, 0, 0, false, false, 1e6, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.FULL, policy.decide(full, 0));
  }

  private void overload() {
    policy.decide(ahead(800), 0);
    policy.decide(ahead(800), 1_000 * MILLI);
    assertTrue(policy.isOverloaded());
  }
}
