package io.marigoldsail.retry;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.dispatch.AttemptOutcome;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides whether and when a request is retried after an attempt has ended.
 *
 * <p>Failed attempts: a request is attempted at most {@link #MAX_ATTEMPTS} times. It is retried
 * only if that is safe, if the budget allows it, and if no requests wait, because a retry would
 * take capacity from a first attempt. The backoff is random and doubles with each retry, so that
 * retries to a restarting target are not synchronised.
 *
 * <p>Rejected attempts: a rejection by a full side process used no slot, so the request returns to
 * the queue immediately and without budget, for its first {@link #REJECTIONS_BEFORE_BACKOFF}
 * attempts; without this limit it could be resent until its deadline. After that it is retried with
 * a doubling backoff up to its deadline. Load pattern: newly started processes stall for a quarter
 * of a second while their first requests arrive. Eight attempts pass within that time, and without
 * the backoff callers of a nearly idle fleet were refused with most of their time left.
 *
 * <p>Not thread-safe.
 */
public final class RetryPolicy {
  /** Maximum number of attempts of a request whose attempts fail. */
  static final int MAX_ATTEMPTS = 3;

  /** Number of attempts from which a rejected request is retried with a backoff. */
  static final int REJECTIONS_BEFORE_BACKOFF = 8;

  static final long INITIAL_BACKOFF_NANOS = 10_000_000L;

  /** Backoff after {@link #REJECTIONS_BEFORE_BACKOFF} attempts; doubled with each further one. */
  static final long REJECTED_INITIAL_BACKOFF_NANOS = 20_000_000L;

  private static final int MAX_DOUBLINGS = 10;

  private final RetryBudget budget = new RetryBudget();
  private final RandomGenerator random;

  /** Creates a policy with a full budget. */
  public RetryPolicy(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /** Records the first attempt of a request. */
  public void recordRequest() {
    budget.recordRequest();
  }

  /**
   * Returns the time of the next attempt, or empty if the outcome is final.
   *
   * @param outcome outcome of the last attempt
   * @param idempotent whether the request may safely run twice
   * @param attempts number of attempts so far
   * @param othersQueued whether other requests are queued
   * @param deadline deadline of the request; a retry due after it is not made
   * @param now current monotonic time, in nanoseconds
   */
  public OptionalLong retryAt(
      AttemptOutcome outcome,
      boolean idempotent,
      int attempts,
      boolean othersQueued,
      long deadline,
      long now) {
    if (!outcome.mayRetry(idempotent)) {
      return OptionalLong.empty();
    }
    if (outcome.rejectedBySideProcess()) {
      return ifBefore(deadline, now + rejectionBackoff(attempts));
    }
    if (othersQueued || attempts >= MAX_ATTEMPTS) {
      return OptionalLong.empty();
    }
    OptionalLong due = ifBefore(deadline, now + failureBackoff(attempts));
    return due.isPresent() && budget.tryAcquire() ? due : OptionalLong.empty();
  }

  private static OptionalLong ifBefore(long deadline, long due) {
    return due < deadline ? OptionalLong.of(due) : OptionalLong.empty();
  }

  private static long rejectionBackoff(int attempts) {
    int extraAttempts = attempts - REJECTIONS_BEFORE_BACKOFF;
    return extraAttempts < 0
        ? 0
        : REJECTED_INITIAL_BACKOFF_NANOS << Math.min(extraAttempts, MAX_DOUBLINGS);
  }

  private long failureBackoff(int attempts) {
    long maxNanos = INITIAL_BACKOFF_NANOS << (attempts - 1);
    return maxNanos / 2 + random.nextLong(maxNanos / 2);
  }
}
