package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of an entry towards callers.
 *
 * @param maxConnections how many connections callers may have open at once
 * @param bodyBudgetBytes what bodies of requests may hold together, in bytes
 */
public record CallerLimits(int maxConnections, long bodyBudgetBytes) {
  /** The longest time left that a caller may name, in milliseconds. */
  public static final long MAX_DEADLINE_MILLIS = 10 * 60 * 1_000L;

  /** The longest name of a caller, key or idempotency key, in characters. */
  public static final int MAX_NAME_LENGTH = 200;

  /** The longest head of a request, in bytes. */
  public static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Checks the components. */
  public CallerLimits {
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(
        bodyBudgetBytes >= BodyLimits.MAX_BYTES,
        "bodyBytes is less than one body: %s",
        bodyBudgetBytes);
  }

  /** Returns the bounds that fit the heap of this Java virtual machine. */
  public static CallerLimits forHeap() {
    long quarter = Runtime.getRuntime().maxMemory() / 4;
    return new CallerLimits(4_096, Math.max(2L * BodyLimits.MAX_BYTES, quarter));
  }
}
