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
final class StreamAnchors {
  /** What a comparison showed. */
  enum Match {
    /** The same record stood there before. */
    SAME,
    /** Another record stood there before. */
    OTHER,
    /** What stood there is not remembered. */
    UNKNOWN
  }

  static final int KEPT = 4_096;

  private static final HashFunction HASH = Hashing.sipHash24();

  private final long[] offsets = new long[KEPT];
  private final long[] hashes = new long[KEPT];

  StreamAnchors() {
    clear();
  }

  /** Keeps what stands at the record's offset. */
  void remember(LogRecord record) {
    int slot = slot(record.offset());
    offsets[slot] = record.offset();
    hashes[slot] = hash(record);
  }

  /** Returns whether what stood at an offset is remembered. */
  boolean knows(long offset) {
    return offset >= 0 && offsets[slot(offset)] == offset;
  }

  Match compare(LogRecord record) {
    if (!knows(record.offset())) {
      return Match.UNKNOWN;
    }
    return hashes[slot(record.offset())] == hash(record) ? Match.SAME : Match.OTHER;
  }

  /** Forgets everything. */
  void clear() {
    Arrays.fill(offsets, -1);
  }

  private static int slot(long offset) {
    return (int) (offset % KEPT);
  }

  private static long hash(LogRecord record) {
    return HASH.hashBytes(record.bytes()).asLong();
  }
}
