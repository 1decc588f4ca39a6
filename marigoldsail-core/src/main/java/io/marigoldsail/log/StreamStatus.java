package io.marigoldsail.log;

/**
 * How far a reader is. Immutable.
 *
 * @param appliedOffset the offset that it applies next; all before it are in its state
 * @param endOffset the end of the stream as the log service last told it, at least {@code
 *     appliedOffset}
 * @param firstOffset the oldest offset that retention has left, as last told
 * @param seekingSnapshot whether records expired unread and it looks for a snapshot to go on from;
 *     its state is then an old one
 * @param outage whether the last read failed
 * @param skippedCount how many records and entries it passed over so far
 * @param newerVersionCount how many of them were records of a newer version
 * @param historyReplacementCount how often the stream turned out to be another one than was read so
 *     far
 * @param offeringSnapshot whether the stream lacks this reader's state and is to be offered it
 */
public record StreamStatus(
    long appliedOffset,
    long endOffset,
    long firstOffset,
    boolean seekingSnapshot,
    boolean outage,
    long skippedCount,
    long newerVersionCount,
    long historyReplacementCount,
    boolean offeringSnapshot) {

  /** Returns whether the state holds all that the log service told of. */
  public boolean caughtUp() {
    return !seekingSnapshot && !outage && appliedOffset >= endOffset;
  }
}
