package io.marigoldsail.guard;

/**
 * Token bucket that limits the evictions of a VM.
 *
 * <p>Guards against slow services that no eviction helps, such as one that is itself overloaded:
 * without a budget, the guard would evict every task of the VM in vain. Not thread-safe.
 */
final class EvictionBudget {
  private static final double NANOS_PER_HOUR = 3_600e9;

  /**
   * Capacity as a fraction of the evictions per hour: a wave of interference comes with several
   * tasks, so a VM may evict a few at once.
   */
  private static final double BURST_FRACTION = 0.25;

  private double tokens;
  private long refilledNanos;

  EvictionBudget(GuardPolicy policy, long nowNanos) {
    tokens = capacity(policy);
    refilledNanos = nowNanos;
  }

  /** Consumes one eviction if the budget allows one; returns whether it did. */
  boolean tryConsume(GuardPolicy policy, long nowNanos) {
    boolean any = hasRemaining(policy, nowNanos);
    tokens -= any ? 1 : 0;
    return any;
  }

  /** Returns whether the budget allows an eviction. */
  boolean hasRemaining(GuardPolicy policy, long nowNanos) {
    double refill = (nowNanos - refilledNanos) / NANOS_PER_HOUR * policy.evictionsPerHour();
    tokens = Math.min(capacity(policy), tokens + refill);
    refilledNanos = nowNanos;
    return tokens >= 1;
  }

  /**
   * Consumes an eviction that was decided elsewhere; the budget may become negative and must refill
   * first.
   */
  void consume(GuardPolicy policy, long nowNanos) {
    boolean unused = hasRemaining(policy, nowNanos);
    tokens = Math.max(-capacity(policy), tokens - 1);
  }

  private static double capacity(GuardPolicy policy) {
    return Math.max(1, policy.evictionsPerHour() * BURST_FRACTION);
  }
}
