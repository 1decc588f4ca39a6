package io.marigoldsail.retry;

/**
 * A token bucket that limits the retries of a service to a share of its requests.
 *
 * <p>Load pattern: targets fail, and each failure is retried. Without a budget, retries multiply
 * when capacity is lowest, and the failure of some targets overloads all others. Each request adds
 * {@link #PER_REQUEST} tokens, each retry takes one, and at most {@link #MAX_SAVED} tokens are
 * kept, so that a quiet period does not pay for a retry storm.
 *
 * <p>The goal is at most 1.1 attempts per request over any 10 s; 0.08 leaves a fifth of the retries
 * for saved tokens and for requests rejected by a full side process.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
  static final double PER_REQUEST = 0.08;
  static final double MAX_SAVED = 10;

  private double saved = MAX_SAVED;

  /** Creates a full budget. */
  public RetryBudget() {}

  /** Records the first attempt of a request. */
  public void requestSent() {
    saved = Math.min(MAX_SAVED, saved + PER_REQUEST);
  }

  /** Takes a token for a retry; returns whether one was available. */
  public boolean spend() {
    if (saved < 1) {
      return false;
    }
    saved--;
    return true;
  }
}
