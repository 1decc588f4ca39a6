package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of an entry for callers.
 *
 * @param maxConnections the number of connections that callers may have open at once
 * @param bodyBudgetBytes the total bytes of request bodies
 */
public record CallerLimits(int maxConnections, long bodyBudgetBytes) {
  /** The longest deadline that a caller may set, in milliseconds. */
  public static final long MAX_DEADLINE_MILLIS = 10 * 60 * 1_000L;

  /** The maximum length of the name of a caller, key or idempotency key, in characters. */
  public static final int MAX_NAME_LENGTH = 200;

  /** The maximum length of a request head, in bytes. */
  public static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Checks the components. */
  public CallerLimits {
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(
        bodyBudgetBytes >= BodyLimits.MAX_BYTES,
        "bodyBudgetBytes is less than one body: %s",
        bodyBudgetBytes);
  }

  /** Returns the limits for the heap of this Java virtual machine. */
  public static CallerLimits forHeap() {
    long quarter = Runtime.getRuntime().maxMemory() / 4;
    return new CallerLimits(4_096, Math.max(2L * BodyLimits.MAX_BYTES, quarter));
  }
}
