package io.marigoldsail.log;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.util.Arrays;

/**
 * Remembers what stood at the offsets read last, to tell the stream read so far from another one.
 *
 * <p>An offset alone proves nothing: a log that lost its newest records, or began again, gives the
 * same offsets to other records. Two records with the same bytes are the same one, because entries
 * carry ids that no process uses twice. Bounded at {@value #KEPT} records. Confined to one thread.
 */
final class RecentRecordHashes {
  /** What a comparison showed. */
  enum Match {
    /** The same record stood there before. */
    SAME,
    /** Another record stood there before. */
    DIFFERENT,
    /** What stood there is not remembered. */
    UNKNOWN
  }

  static final int CAPACITY = 4_096;

  private static final HashFunction HASH = Hashing.sipHash24();

  private final long[] offsets = new long[CAPACITY];
  private final long[] hashes = new long[CAPACITY];

  RecentRecordHashes() {
    clear();
  }

  /** Keeps what stands at the record's offset. */
  void add(LogRecord record) {
    int slot = slot(record.offset());
    offsets[slot] = record.offset();
    hashes[slot] = hash(record);
  }

  /** Returns whether what stood at an offset is remembered. */
  boolean contains(long offset) {
    return offset >= 0 && offsets[slot(offset)] == offset;
  }

  Match compare(LogRecord record) {
    if (!contains(record.offset())) {
      return Match.UNKNOWN;
    }
    return hashes[slot(record.offset())] == hash(record) ? Match.SAME : Match.DIFFERENT;
  }

  /** Forgets everything. */
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
