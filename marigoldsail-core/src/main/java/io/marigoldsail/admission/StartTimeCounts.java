package io.marigoldsail.admission;

/**
 * Counts waiting requests by their turn, so that the number before a given turn costs O(log n).
 *
 * <p>A binary indexed tree over a ring of {@link #RANGE} turns from the present one on; turns
 * further off share the last place. Not safe for use by several threads.
 */
final class StartTimeCounts {
  /** Turns that are told apart. A power of two. */
  static final int RANGE = 16_384;

  private final int[] tree = new int[RANGE + 1];

  /** Returns the place that stands for a turn, to be given back to {@link #add} on removal. */
  static int slotOf(long turn, long present) {
    long clamped = Math.max(present, Math.min(turn, present + RANGE - 1));
    return (int) (clamped & (RANGE - 1));
  }

  void add(int place, int count) {
    for (int i = place + 1; i <= RANGE; i += i & -i) {
      tree[i] += count;
    }
  }

  /** Returns how many wait at turns from the present one to the given place, both included. */
  int countUpTo(int place, long present) {
    int first = (int) (present & (RANGE - 1));
    int upToPlace = prefixSum(place + 1);
    int beforeFirst = prefixSum(first);
    if (place >= first) {
      return upToPlace - beforeFirst;
    }
    return prefixSum(RANGE) - beforeFirst + upToPlace;
  }

  private int prefixSum(int end) {
    int sum = 0;
    for (int i = end; i > 0; i -= i & -i) {
      sum += tree[i];
    }
    return sum;
  }
}
