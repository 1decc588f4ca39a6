package io.marigoldsail.log;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Arrays;

/**
 * Hashes of the records read last, to detect that the history of a stream was replaced.
 *
 * <p>An offset alone does not identify a record: a log that lost its newest records, or was set up
 * again, assigns the same offsets to other records. Equal bytes mean the same record, because
 * entries carry ids that are never reused. Keeps at most {@value #CAPACITY} records. Confined to
 * one thread.
 */
final class RecentRecordHashes {
  /** Result of comparing a record with the one read before at its offset. */
  enum Match {
    /** The same record was read at this offset. */
    SAME,
    /** A different record was read at this offset. */
    DIFFERENT,
    /** No hash is kept for this offset. */
    UNKNOWN
  }

  static final int CAPACITY = 4_096;

  private static final HashFunction HASH = Hashing.sipHash24();

  private final long[] offsets = new long[CAPACITY];
  private final long[] hashes = new long[CAPACITY];

  RecentRecordHashes() {
    clear();
  }

  /** Adds the record's hash. */
  void add(LogRecord record) {
    int slot = slot(record.offset());
    offsets[slot] = record.offset();
    hashes[slot] = hash(record);
  }

  /** Returns whether a hash is kept for the offset. */
  boolean contains(long offset) {
    return offset >= 0 && offsets[slot(offset)] == offset;
  }

  Match compare(LogRecord record) {
    if (!contains(record.offset())) {
      return Match.UNKNOWN;
    }
    return hashes[slot(record.offset())] == hash(record) ? Match.SAME : Match.DIFFERENT;
  }

  /** Removes all hashes. */
  void clear() {
    Arrays.fill(offsets, -1);
  }

  private static int slot(long offset) {
    return (int) (offset % CAPACITY);
  }

  private static long hash(LogRecord record) {
    return HASH.hashBytes(record.bytes()).asLong();
  }
}
