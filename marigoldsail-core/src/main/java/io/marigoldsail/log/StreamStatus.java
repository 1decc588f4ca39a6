package io.marigoldsail.log;

/**
 * How far a reader is. Immutable.
 *
 * @param applied the offset that it applies next; all before it are in its state
 * @param end the end of the stream as the log service last told it, at least {@code applied}
 * @param firstOffset the oldest offset that retention has left, as last told
 * @param seeking whether records expired unread and it looks for a snapshot to go on from; its
 *     state is then an old one
 * @param outage whether the last read failed
 * @param skipped how many records and entries it passed over so far
 * @param newerVersions how many of them were records of a newer version
 * @param histories how often the stream turned out to be another one than was read so far
 * @param offering whether the stream lacks this reader's state and is to be offered it
 */
public record StreamStatus(
    long applied,
    long end,
    long firstOffset,
    boolean seeking,
    boolean outage,
    long skipped,
    long newerVersions,
    long histories,
    boolean offering) {

  /** Returns whether the state holds all that the log service told of. */
  public boolean caughtUp() {
    return !seeking && !outage && applied >= end;
  }
}
