package io.marigoldsail.dispatch;

/**
 * The acknowledged sequences of one entry incarnation, as one bit each in a sliding window that
 * ends near the highest sequence.
 *
 * <p>Sequences up to {@link #evictedUpTo} have left the window; whether they were acknowledged is
 * no longer known. Confined to one thread; times are nanoseconds of one monotonic clock.
 */
final class AcknowledgedSequences {
  /**
   * Number of sequences in the window. An entry that sends 10,000 attempts per second to all its
   * targets advances by half of it in 13 s; a silent connection is detected within 2 s.
   */
  static final int WINDOW = 1 << 18;

  private static final int WORD_BITS = Long.SIZE;
  private static final int WORDS = WINDOW / WORD_BITS;

  private final long[] bits = new long[WORDS];
  private long windowStart = -1;
  private long highest;
  private long expiresAt;

  /** Adds a sequence, which must not be negative; has no effect on a sequence below the window. */
  void add(long sequence, long newExpiresAt) {
    expiresAt = newExpiresAt;
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

  /** Returns whether the sequence was added and is still in the window. */
  boolean contains(long sequence) {
    return windowStart >= 0
        && sequence >= windowStart
        && sequence - windowStart < WINDOW
        && (bits[word(sequence)] & bit(sequence)) != 0;
  }

  /** Returns the highest sequence below the window, or -1 if there is none. */
  long evictedUpTo() {
    return windowStart - 1;
  }

  long highest() {
    return highest;
  }

  /** Returns the time until which the sequences must be kept. */
  long expiresAt() {
    return expiresAt;
  }

  private void advanceWindowTo(long newStart) {
    long words = Math.min(WORDS, (newStart - windowStart) / WORD_BITS);
    for (long i = 0; i < words; i++) {
      bits[word(windowStart + i * WORD_BITS)] = 0;
    }
    windowStart = newStart;
  }

  private static int word(long sequence) {
    return (int) (sequence / WORD_BITS % WORDS);
  }

  private static long bit(long sequence) {
    return 1L << (sequence % WORD_BITS);
  }
}
