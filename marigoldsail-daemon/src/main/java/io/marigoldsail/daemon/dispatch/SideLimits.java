package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.dispatch.TargetQueueLimit;

/**
 * Bounds of a side process.
 *
 * @param slots how many requests its target runs at once
 * @param queueCapacity how many more are held for a free slot; covers a round trip to the entries,
 *     so that a slot that falls free is filled at once, and no more, for fairness is only seen
 *     there
 * @param maxConnections how many connections entries may have open at once
 * @param bodyBudgetBytes what bodies of requests and long answers may hold together, in bytes
 * @param retainedResponseBytes what answers kept for entries that lost a connection may hold, in
 *     bytes
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
    checkArgument(queueCapacity >= 0, "waitingRoom is negative: %s", queueCapacity);
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(
        bodyBudgetBytes >= BodyLimits.MAX_BYTES,
        "bodyBytes is less than one body: %s",
        bodyBudgetBytes);
    checkArgument(
        retainedResponseBytes >= 0, "keptAnswerBytes is negative: %s", retainedResponseBytes);
  }

  /** Returns the bounds that fit a heap of 40 MB. */
  public static SideLimits forSlots(int slots) {
    return new SideLimits(
        slots,
        TargetQueueLimit.forSlots(slots),
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_BODY_BUDGET_BYTES,
        DEFAULT_RETAINED_RESPONSE_BYTES);
  }
}
