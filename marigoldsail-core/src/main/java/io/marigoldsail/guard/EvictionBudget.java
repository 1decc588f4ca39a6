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
  private static final double BURST_FRACTION = 0.25;

  private double hasRemaining;
  private long refilledNanos;

  EvictionBudget(GuardPolicy terms, long nowNanos) {
    hasRemaining = capacity(terms);
    refilledNanos = nowNanos;
  }

  /** Takes one eviction out of the budget, and returns whether there was one. */
  boolean tryConsume(GuardPolicy terms, long nowNanos) {
    boolean any = hasRemaining(terms, nowNanos);
    hasRemaining -= any ? 1 : 0;
    return any;
  }

  /** Returns whether there is at least one eviction left. */
  boolean hasRemaining(GuardPolicy terms, long nowNanos) {
    double refill = (nowNanos - refilledNanos) / NANOS_PER_HOUR * terms.evictionsPerHour();
    hasRemaining = Math.min(capacity(terms), hasRemaining + refill);
    refilledNanos = nowNanos;
    return hasRemaining >= 1;
  }

  /** Counts an eviction that somebody else decided; what that overdraws has to refill first. */
  void consume(GuardPolicy terms, long nowNanos) {
    boolean unused = hasRemaining(terms, nowNanos);
    hasRemaining = Math.max(-capacity(terms), hasRemaining - 1);
  }

  private static double capacity(GuardPolicy terms) {
    return Math.max(1, terms.evictionsPerHour() * BURST_FRACTION);
  }
}
