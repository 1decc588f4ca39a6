package io.marigoldsail.dispatch;

/**
 * The sequences of one entry incarnation whose answers the entry has: one bit each, in a window
 * that moves up with the highest.
 *
 * <p>What the window has passed is told by {@link #evictedUpTo}: of sequences at or below it
 * nothing is known any more. Confined to one thread; times are nanoseconds of one monotonic clock.
 */
final class AcknowledgedSequences {
  /**
   * How many sequences the window spans. An entry that sends 10,000 attempts a second to all its
   * targets takes 13 s to pass half of it, and a silent connection is noticed within two.
   */
  static final int WINDOW = 1 << 18;

  private static final int WORD_BITS = Long.SIZE;
  private static final int WORDS = WINDOW / WORD_BITS;

  private final long[] bits = new long[WORDS];
  private long windowStart = -1;
  private long highest;
  private long expiresAt;

  /** Notes a sequence that is at least 0; without effect on one that the window has passed. */
  void add(long sequence, long newForgetAt) {
    expiresAt = newForgetAt;
    if (windowStart < 0) {
      windowStart = Math.max(0, sequence - WINDOW / 2) / WORD_BITS * WORD_BITS;
    }
    if (sequence < windowStart) {
      return;
    }
    highest = Math.max(highest, sequence);
    if (sequence - windowStart >= WINDOW) {
      advanceWindowTo((sequence - WINDOW / 2) / WORD_BITS * WORD_BITS);
    }
    bits[word(sequence)] |= bit(sequence);
  }

  /** Returns whether the sequence was noted and the window has not passed it. */
  boolean contains(long sequence) {
    return windowStart >= 0
        && sequence >= windowStart
        && sequence - windowStart < WINDOW
        && (bits[word(sequence)] & bit(sequence)) != 0;
  }

  /** Returns the highest sequence that the window has passed, or -1 if none. */
  long evictedUpTo() {
    return windowStart - 1;
  }

  long highest() {
    return highest;
  }

  /** Returns until when the sequences are to be known. */
  long expiresAt() {
    return expiresAt;
  }

  private void advanceWindowTo(long newBase) {
    long words = Math.min(WORDS, (newBase - windowStart) / WORD_BITS);
    for (long i = 0; i < words; i++) {
      bits[word(windowStart + i * WORD_BITS)] = 0;
    }
    windowStart = newBase;
  }

  private static int word(long sequence) {
    return (int) (sequence / WORD_BITS % WORDS);
  }

  private static long bit(long sequence) {
    return 1L << (sequence % WORD_BITS);
  }
}
