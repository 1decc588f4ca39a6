package io.marigoldsail.admission;

/**
 * Counts waiting requests by their turn, so that the number before a given turn costs O(log n).
 *
 * <p>A binary indexed tree over a ring of {@link #TURNS} turns from the present one on; turns
 * further off share the last place. Not safe for use by several threads.
 */
final class TurnCounts {
  /** Turns that are told apart. A power of two. */
  static final int TURNS = 16_384;

  private final int[] tree = new int[TURNS + 1];

  /** Returns the place that stands for a turn, to be given back to {@link #add} on removal. */
  static int placeOf(long turn, long present) {
    long clamped = Math.max(present, Math.min(turn, present + TURNS - 1));
    return (int) (clamped & (TURNS - 1));
  }

  void add(int place, int count) {
    for (int i = place + 1; i <= TURNS; i += i & -i) {
      tree[i] += count;
    }
  }

  /** Returns how many wait at turns from the present one to the given place, both included. */
  int upTo(int place, long present) {
    int first = (int) (present & (TURNS - 1));
    int upToPlace = prefix(place + 1);
    int beforeFirst = prefix(first);
    if (place >= first) {
      return upToPlace - beforeFirst;
    }
    return prefix(TURNS) - beforeFirst + upToPlace;
  }

  private int prefix(int end) {
    int sum = 0;
    for (int i = end; i > 0; i -= i & -i) {
      sum += tree[i];
    }
    return sum;
  }
}
