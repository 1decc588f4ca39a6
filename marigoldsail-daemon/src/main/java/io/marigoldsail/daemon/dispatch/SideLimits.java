package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.dispatch.WaitingRoom;

/**
 * Limits of a side process.
 *
 * @param slots the number of requests that its target runs at once
 * @param waitingRoom the number of requests that are queued for a free slot. Covers a round trip to
 *     the entries, so that a free slot is filled at once, and no more than that, because only
 *     entries schedule fairly
 * @param maxConnections the number of connections that entries may have open at once
 * @param bodyBytes the total bytes of request bodies and long responses
 * @param keptAnswerBytes the total bytes of responses retained for entries that lost a connection
 */
public record SideLimits(
    int slots, int waitingRoom, int maxConnections, long bodyBytes, long keptAnswerBytes) {
  private static final int DEFAULT_MAX_CONNECTIONS = 256;
  private static final long DEFAULT_BODY_BYTES = 2L * Bodies.MAX_BYTES;
  private static final long DEFAULT_KEPT_ANSWER_BYTES = 3L * 1024 * 1024;

  /** Checks the components. */
  public SideLimits {
    checkArgument(slots > 0, "slots is not positive: %s", slots);
    checkArgument(waitingRoom >= 0, "waitingRoom is negative: %s", waitingRoom);
    checkArgument(maxConnections > 0, "maxConnections is not positive: %s", maxConnections);
    checkArgument(bodyBytes >= Bodies.MAX_BYTES, "bodyBytes is less than one body: %s", bodyBytes);
    checkArgument(keptAnswerBytes >= 0, "keptAnswerBytes is negative: %s", keptAnswerBytes);
  }

  /** Returns the limits for a heap of 40 MB. */
  public static SideLimits ofSlots(int slots) {
    return new SideLimits(
        slots,
        WaitingRoom.placesFor(slots),
        DEFAULT_MAX_CONNECTIONS,
        DEFAULT_BODY_BYTES,
        DEFAULT_KEPT_ANSWER_BYTES);
  }
}
