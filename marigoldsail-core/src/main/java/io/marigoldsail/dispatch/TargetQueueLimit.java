package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limit on requests that a side process queues for a free slot of its target.
 *
 * <p>Load pattern: a fully loaded target whose entries are a round trip away. Without a queue, a
 * freed slot stays idle for a round trip. In a long queue, requests wait where fairness between
 * callers cannot be enforced.
 *
 * <p>The limit is half the number of slots. A quarter covers a round trip of 2 ms at service times
 * of 20 ms and eight slots, where a slot is freed every 2.5 ms; entries fill no more than that. The
 * other quarter is for requests that several entries send at the same time and that would be
 * rejected otherwise. A request above the limit is answered as not run.
 */
public final class TargetQueueLimit {
  private static final int SLOTS_PER_QUEUED_REQUEST = 2;

  private TargetQueueLimit() {}

  /** Returns the queue limit of a target with the given number of slots; at least 1. */
  public static int forSlots(int slots) {
    checkArgument(slots > 0, "slots is not positive: %s", slots);
    return Math.max(1, slots / SLOTS_PER_QUEUED_REQUEST);
  }
}
