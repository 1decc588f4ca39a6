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

  private OptionalLong retry(AttemptOutcome outcome, boolean idempotent, int tries, boolean queue) {
    return policy.retryAt(outcome, idempotent, tries, queue, DEADLINE, 0);
  }

  // A charge is sent, and the connection to its target is lost. It may have run: trying it again
  // could charge the motorist twice.
  @Test
  void neverRetriesANonIdempotentRequestThatMayHaveRun() {
    assertTrue(retry(AttemptOutcome.LOST, false, 1, false).isEmpty());
    assertTrue(retry(AttemptOutcome.TARGET_ERROR, false, 1, false).isEmpty());
    assertEquals(OptionalLong.of(0), retry(AttemptOutcome.NOT_RUN, false, 1, false));
  }

  // All targets fail for ten seconds. If every failure were tried again, three times the requests
  // would meet targets that are already in trouble.
  @Test
  void keepsAttemptsWithinTenPercentAboveRequests() {
    int tries = 0;
    for (int request = 0; request < 1_000; request++) {
      policy.recordRequest();
      tries++;
      for (int attempt = 1;
          retry(AttemptOutcome.TARGET_ERROR, true, attempt, false).isPresent();
          attempt++) {
        tries++;
      }
    }
    assertTrue(tries <= 1_100, "tries: " + tries);
    assertTrue(tries > 1_050, "tries: " + tries);
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

  // Every side process is full and turns a request away, again and again. It must neither circle
  // fast
  // until its deadline nor be refused with most of its time left.
  @Test
  void backsOffARequestThatIsRejectedEverywhere() {
    int tries = 1;
    long now = 0;
    OptionalLong next = policy.retryAt(AttemptOutcome.NOT_RUN, true, tries, false, DEADLINE, now);
    while (next.isPresent()) {
      now = next.getAsLong();
      assertTrue(now < DEADLINE, "tried past the deadline: " + now);
      tries++;
      next = policy.retryAt(AttemptOutcome.NOT_RUN, true, tries, false, DEADLINE, now);
    }
    assertTrue(tries <= RetryPolicy.REJECTIONS_BEFORE_BACKOFF + 6, "tries: " + tries);
    assertTrue(now >= DEADLINE / 2, "refused with most of its time left, at " + now);
  }
}
