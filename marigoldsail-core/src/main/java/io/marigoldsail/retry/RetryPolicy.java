package io.marigoldsail.retry;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.dispatch.AttemptOutcome;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides whether an attempt that ended is tried again, and when.
 *
 * <p>Load patterns: targets that fail, and a full service. A failed request is tried again at most
 * {@link #MAX_ATTEMPTS} times in all, only if that can do no harm, if the budget allows, never
 * while requests wait (a retry would take the place of somebody's first try) and only after a
 * random back-off that doubles, so that tries at a target that restarts do not come in step.
 *
 * <p>A request that a full side process turned away is another matter: it cost no slot, so it goes
 * back to the queue at once and without budget, up to {@link #REJECTIONS_BEFORE_BACKOFF} tries;
 * without that bound a request could circle until its deadline. After that it is tried again after
 * a back-off that doubles, as long as its deadline allows. Load pattern: processes that have just
 * started stand still for a quarter of a second while their first requests come; eight tries pass
 * within that time, and callers of a nearly idle fleet were refused with most of their time left.
 * Not safe for use by several threads.
 */
public final class RetryPolicy {
  static final int MAX_ATTEMPTS = 3;
  static final int REJECTIONS_BEFORE_BACKOFF = 8;
  static final long INITIAL_BACKOFF_NANOS = 10_000_000L;

  /**
   * What a request waits after its first {@link #REJECTIONS_BEFORE_BACKOFF} tries, doubled with
   * each more.
   */
  static final long REJECTED_INITIAL_BACKOFF_NANOS = 20_000_000L;

  private static final int MAX_DOUBLINGS = 10;

  private final RetryBudget budget = new RetryBudget();
  private final RandomGenerator random;

  /** Creates a policy with a full budget. */
  public RetryPolicy(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /** Takes note of a request's first try. */
  public void recordRequest() {
    budget.recordRequest();
  }

  /**
   * Returns when to try again, or empty if the outcome is final.
   *
   * @param tries how often it was tried so far
   * @param queueing whether other requests wait for a place
   * @param deadline the request's deadline; what would be due later is not tried
   */
  public OptionalLong retryAt(
      AttemptOutcome outcome,
      boolean idempotent,
      int tries,
      boolean queueing,
      long deadline,
      long now) {
    if (!outcome.mayRetry(idempotent)) {
      return OptionalLong.empty();
    }
    if (outcome.rejectedBySideProcess()) {
      return ifBefore(deadline, now + rejectionBackoff(tries));
    }
    if (queueing || tries >= MAX_ATTEMPTS) {
      return OptionalLong.empty();
    }
    OptionalLong due = ifBefore(deadline, now + failureBackoff(tries));
    return due.isPresent() && budget.tryAcquire() ? due : OptionalLong.empty();
  }

  private static OptionalLong ifBefore(long deadline, long due) {
    return due < deadline ? OptionalLong.of(due) : OptionalLong.empty();
  }

  private static long rejectionBackoff(int tries) {
    int beyond = tries - REJECTIONS_BEFORE_BACKOFF;
    return beyond < 0 ? 0 : REJECTED_INITIAL_BACKOFF_NANOS << Math.min(beyond, MAX_DOUBLINGS);
  }

  private long failureBackoff(int tries) {
    long most = INITIAL_BACKOFF_NANOS << (tries - 1);
    return most / 2 + random.nextLong(most / 2);
  }
}
