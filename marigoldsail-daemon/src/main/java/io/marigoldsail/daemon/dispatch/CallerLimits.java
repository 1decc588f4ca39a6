package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of an entry for callers.
 *
 * @param maxConnections the number of connections that callers may have open at once
 * @param bodyBytes the total bytes of request bodies
 */
public record CallerLimits(int maxConnections, long bodyBytes) {
  /** The longest deadline that a caller may set, in milliseconds. */
  public static final long MAX_DEADLINE_MILLIS = 10 * 60 * 1_000L;

  /** The maximum length of the name of a caller, key or idempotency key, in characters. */
  public static final int MAX_NAME_LENGTH = 200;

  /** The maximum length of a request head, in bytes. */
  public static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Checks the components. */
  public CallerLimits {
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(bodyBytes >= Bodies.MAX_BYTES, "bodyBytes is less than one body: %s", bodyBytes);
  }

  /** Returns the limits for the heap of this Java virtual machine. */
  public static CallerLimits ofHeap() {
    long quarter = Runtime.getRuntime().maxMemory() / 4;
    return new CallerLimits(4_096, Math.max(2L * Bodies.MAX_BYTES, quarter));
  }
}
