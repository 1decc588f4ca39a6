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

  // A market opens and ten times the usual motorists ask within half a second. All of them can be
  // answered within their second; a bound on the delay would send most of them away.
  @Test
  void admitsABurstThatFitsItsDeadline() {
    assertEquals(Verdict.WAIT, policy.decide(ahead(800), 0));
    assertEquals(Verdict.WAIT, policy.decide(ahead(800), 500 * MILLI));
    assertEquals(Verdict.FULL, policy.decide(ahead(950), 500 * MILLI));
  }

  // The queue has been long for a second: whoever joins it now only waits, nobody is served more.
  @Test
  void boundsTheWaitAfterOneSecondAboveTheTargetDelay() {
    overload();
    assertEquals(Verdict.FULL, policy.decide(ahead(100), 1_100 * MILLI));
    assertEquals(Verdict.WAIT, policy.decide(ahead(15), 1_100 * MILLI));
  }

  // Under lasting overload the queue dips under the target again and again. If each dip counted as
  // its end, the queue would be allowed to grow to a second every time.
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

  // A hot caller keeps the queue at the target delay; a quiet one's first request may wait longer.
  @Test
  void allowsALongerWaitToACallerWithoutBacklog() {
    overload();
    QueueState quiet = new QueueState(30, 30, 30, false, false, 1_000, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.FULL, policy.decide(ahead(30), 1_100 * MILLI));
    assertEquals(Verdict.WAIT, policy.decide(quiet, 1_100 * MILLI));
  }

  // Overload lasts; a request has had its caller's turn and ten wait before it. Everybody who comes
  // later with an earlier turn passes it: it was let in for a target delay of 20 ms and waited 87
  // ms.
  @Test
  void countsLaterRequestsThatOvertakeDuringOverload() {
    QueueState passed =
        new QueueState(30, 10, 100, false, true, 1_000, TARGET_DELAY, 10_000, SPARE);
    assertEquals(Verdict.WAIT, policy.decide(passed, 0));
    overload();
    assertEquals(Verdict.FULL, policy.decide(passed, 1_100 * MILLI));
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
