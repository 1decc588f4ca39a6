package io.marigoldsail.retry;

/**
 * A token bucket that limits the retries of a service to a share of its requests.
 *
 * <p>Load pattern: targets fail, and each failure is retried. Without a budget, retries multiply
 * when capacity is lowest, and the failure of some targets overloads all others. Each request adds
 * {@link #TOKENS_PER_REQUEST} tokens, each retry takes one, and at most {@link #MAX_TOKENS} tokens
 * are kept, so that a quiet period does not save up tokens for a retry storm.
 *
 * <p>The goal is at most 1.1 attempts per request over any 10 s; 0.08 leaves a fifth of these
 * retries for saved tokens and for requests rejected by a full side process.
 *
 * <p>Not thread-safe.
 */
public final class RetryBudget {
  static final double TOKENS_PER_REQUEST = 0.08;
  static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Creates a full budget. */
  public RetryBudget() {}

  /** Records the first attempt of a request. */
  public void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Takes a token for a retry; returns whether one was available. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
