package io.marigoldsail.guard;

/**
 * How many evictions a VM may still make: a bucket that refills evenly.
 *
 * <p>Load pattern: noise that no eviction mends, such as a service that is itself overloaded.
 * Without a budget the guard would empty the VM, task by task, for nothing. Not safe for use by
 * several threads.
 */
final class EvictionBudget {
  private static final double NANOS_PER_HOUR = 3_600e9;

  /** An empty VM may evict a few at once; a wave of noise comes with several tasks. */
  private static final double BURST_PART = 0.25;

  private double left;
  private long filledNanos;

  EvictionBudget(GuardTerms terms, long nowNanos) {
    left = most(terms);
    filledNanos = nowNanos;
  }

  /** Takes one eviction out of the budget, and returns whether there was one. */
  boolean take(GuardTerms terms, long nowNanos) {
    boolean any = left(terms, nowNanos);
    left -= any ? 1 : 0;
    return any;
  }

  /** Returns whether there is at least one eviction left. */
  boolean left(GuardTerms terms, long nowNanos) {
    double refill = (nowNanos - filledNanos) / NANOS_PER_HOUR * terms.evictionsPerHour();
    left = Math.min(most(terms), left + refill);
    filledNanos = nowNanos;
    return left >= 1;
  }

  /** Counts an eviction that somebody else decided; what that overdraws has to refill first. */
  void spend(GuardTerms terms, long nowNanos) {
    boolean unused = left(terms, nowNanos);
    left = Math.max(-most(terms), left - 1);
  }

  private static double most(GuardTerms terms) {
    return Math.max(1, terms.evictionsPerHour() * BURST_PART);
  }
}
