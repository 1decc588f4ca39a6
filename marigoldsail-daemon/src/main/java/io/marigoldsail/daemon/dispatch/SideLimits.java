package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.dispatch.TargetQueueLimit;

/**
 * Limits of a side process.
 *
 * @param slots the number of requests that its target runs at once
 * @param queueCapacity the number of requests that are queued for a free slot. Covers a round trip
 *     to the entries, so that a free slot is filled at once, and no more than that, because only
 *     entries schedule fairly
 * @param maxConnections the number of connections that entries may have open at once
 * @param bodyBudgetBytes the total bytes of request bodies and long responses
 * @param retainedResponseBytes the total bytes of responses retained for entries that lost a
 *     connection
 */
public record SideLimits(
    int slots,
    int queueCapacity,
    int maxConnections,
    long bodyBudgetBytes,
    long retainedResponseBytes) {
  private static final int DEFAULT_MAX_CONNECTIONS = 256;
  private static final long DEFAULT_BODY_BUDGET_BYTES = 2L * BodyLimits.MAX_BYTES;
  private static final long DEFAULT_RETAINED_RESPONSE_BYTES = 3L * 1024 * 1024;

  /** Checks the components. */
  public SideLimits {
    checkArgument(slots > 0, "slots is not positive: %s", slots);
    checkArgument(queueCapacity >= 0, "queueCapacity is negative: %s", queueCapacity);
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(
        bodyBudgetBytes >= BodyLimits.MAX_BYTES,
        "bodyBudgetBytes is less than one body: %s",
        bodyBudgetBytes);
    checkArgument(
        retainedResponseBytes >= 0, "retainedResponseBytes is negative: %s", retainedResponseBytes);
  }

  /** Returns the limits for a heap of 40 MB. */
  public static SideLimits forSlots(int slots) {
    return new SideLimits(
        slots,
        TargetQueueLimit.forSlots(slots),
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_BODY_BUDGET_BYTES,
        DEFAULT_RETAINED_RESPONSE_BYTES);
  }
}
