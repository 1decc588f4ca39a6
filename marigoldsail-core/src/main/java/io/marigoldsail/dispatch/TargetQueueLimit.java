package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many requests a side process may hold for a free slot of its target.
 *
 * <p>Load pattern: a target kept full by entries that are a round trip away. Without any place a
 * freed slot stays empty for a round trip; with many, requests wait where fairness between callers
 * cannot be seen. A quarter of the slots covers a round trip of 2 ms at service times of 20 ms and
 * eight slots, where a slot comes free every 2.5 ms; entries fill no more than that. As much again
 * is kept for requests of several entries that are under way at the same moment, which would be
 * turned away otherwise. What finds no place is answered "not run".
 */
public final class TargetQueueLimit {
  private static final int SLOTS_PER_QUEUED_REQUEST = 2;

  private TargetQueueLimit() {}

  /** Returns the places for a target with the given number of slots, at least one. */
  public static int forSlots(int slots) {
    checkArgument(slots > 0, "slots is not positive: %s", slots);
    return Math.max(1, slots / SLOTS_PER_QUEUED_REQUEST);
  }
}
