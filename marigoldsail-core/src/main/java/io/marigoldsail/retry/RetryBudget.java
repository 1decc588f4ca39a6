package io.marigoldsail.retry;

/**
 * Bounds tries of a service to a share of its requests.
 *
 * <p>Load pattern: targets fail, and every failure is tried again. Without a budget, tries multiply
 * when there is least room for them, and a fault of some targets becomes overload of all. Each
 * request earns {@link #TOKENS_PER_REQUEST} of a try, each retry spends a whole one, and no more
 * than {@link #MAX_TOKENS} are saved up, so that a quiet hour does not pay for a storm.
 *
 * <p>Grounds: the figure to reach is 1.1 tries a request over any 10 s; 0.08 leaves a fifth of that
 * for what is saved and for requests turned away by a full side process. Not safe for use by
 * several threads.
 */
public final class RetryBudget {
  static final double TOKENS_PER_REQUEST = 0.08;
  static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Creates a budget with all that may be saved. */
  public RetryBudget() {}

  /** Takes note of a request's first try. */
  public void recordRequest() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  /** Spends one try if there is one left; returns whether there was. */
  public boolean tryAcquire() {
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
