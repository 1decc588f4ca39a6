package io.marigoldsail.admission;

/**
 * Counts queued requests by virtual start time; counting those before a given time costs O(log n).
 *
 * <p>A binary indexed tree over a ring of {@link #RANGE} start times from the current virtual time
 * on. Later start times are counted in the last slot of the ring.
 *
 * <p>Not thread-safe.
 */
final class StartTimeCounts {
  /** Number of distinct start times; must be a power of two. */
  static final int RANGE = 16_384;

  private final int[] tree = new int[RANGE + 1];

  /** Returns the slot of a start time; the same slot must be passed to {@link #add} on removal. */
  static int slotOf(long startTime, long virtualTime) {
    long clamped = Math.max(virtualTime, Math.min(startTime, virtualTime + RANGE - 1));
    return (int) (clamped & (RANGE - 1));
  }

  void add(int slot, int count) {
    for (int i = slot + 1; i <= RANGE; i += i & -i) {
      tree[i] += count;
    }
  }

  /** Returns the count from the current virtual time up to the given slot, both included. */
  int countUpTo(int slot, long virtualTime) {
    int first = (int) (virtualTime & (RANGE - 1));
    int upToSlot = prefixSum(slot + 1);
    int beforeFirst = prefixSum(first);
    if (slot >= first) {
      return upToSlot - beforeFirst;
    }
    return prefixSum(RANGE) - beforeFirst + upToSlot;
  }

  private int prefixSum(int end) {
    int sum = 0;
    for (int i = end; i > 0; i -= i & -i) {
      sum += tree[i];
    }
    return sum;
  }
}
