package io.marigoldsail.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.dispatch.AttemptOutcome;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryPolicyTest {
  private static final long DEADLINE = 1_000_000_000L;

  private final RetryPolicy policy = new RetryPolicy(new SplittableRandom(5));

  private OptionalLong retry(
      AttemptOutcome outcome, boolean idempotent, int attempts, boolean queue) {
    return policy.retryAt(outcome, idempotent, attempts, queue, DEADLINE, 0);
  }

  // The connection to the target is lost after a charge was sent. The charge may have run; a retry
  // could charge the customer twice.
  @Test
  void neverRetriesANonIdempotentRequestThatMayHaveRun() {
    assertTrue(retry(AttemptOutcome.LOST, false, 1, false).isEmpty());
    assertTrue(retry(AttemptOutcome.TARGET_ERROR, false, 1, false).isEmpty());
    assertEquals(OptionalLong.of(0), retry(AttemptOutcome.NOT_RUN, false, 1, false));
  }

  // All targets fail for ten seconds. If each failure were retried, the failing targets would
  // receive three times the requests.
  @Test
  void keepsAttemptsWithinTenPercentAboveRequests() {
    int attempts = 0;
    for (int request = 0; request < 1_000; request++) {
      policy.recordRequest();
      attempts++;
      for (int attempt = 1;
          retry(AttemptOutcome.TARGET_ERROR, true, attempt, false).isPresent();
          attempt++) {
        attempts++;
      }
    }
    assertTrue(attempts <= 1_100, "attempts: " + attempts);
    assertTrue(attempts > 1_050, "attempts: " + attempts);
  }

  @Test
  void doesNotRetryFailuresWhileRequestsWait() {
    assertTrue(retry(AttemptOutcome.LOST, true, 1, true).isEmpty());
    assertTrue(retry(AttemptOutcome.NOT_RUN, true, 1, true).isPresent());
  }

  @Test
  void backsOffLongerEachTimeAndNeverPastTheDeadline() {
    long first = retry(AttemptOutcome.LOST, true, 1, false).orElseThrow();
    long second = retry(AttemptOutcome.LOST, true, 2, false).orElseThrow();
    assertTrue(first >= RetryPolicy.INITIAL_BACKOFF_NANOS / 2 && first < second);
    assertTrue(policy.retryAt(AttemptOutcome.LOST, true, 1, false, 1_000_000, 0).isEmpty());
  }

  // Every side process is full and rejects the request repeatedly. It must neither be resent
  // without pause until its deadline nor be refused with most of its time left.
  @Test
  void backsOffARequestThatIsRejectedEverywhere() {
    int attempts = 1;
    long now = 0;
    OptionalLong next =
        policy.retryAt(AttemptOutcome.NOT_RUN, true, attempts, false, DEADLINE, now);
    while (next.isPresent()) {
      now = next.getAsLong();
      assertTrue(now < DEADLINE, "tried past the deadline: " + now);
      attempts++;
      next = policy.retryAt(AttemptOutcome.NOT_RUN, true, attempts, false, DEADLINE, now);
    }
    assertTrue(attempts <= RetryPolicy.REJECTIONS_BEFORE_BACKOFF + 6, "attempts: " + attempts);
    assertTrue(now >= DEADLINE / 2, "refused with most of its time left, at " + now);
  }
}
