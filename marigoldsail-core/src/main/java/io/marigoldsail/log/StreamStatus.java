package io.marigoldsail.log;

/**
 * The progress of a stream's reader. Immutable.
 *
 * @param applied the offset that is applied next; all records before it are in the state
 * @param end the end of the stream as last reported by the log service, at least {@code applied}
 * @param firstOffset the oldest retained offset, as last reported
 * @param seeking whether records expired unread and the reader looks for a snapshot; its state is
 *     then outdated
 * @param outage whether the last read failed
 * @param skipped the number of skipped records and entries
 * @param newerVersions the number of skipped records of a newer version
 * @param histories how often the history of the stream was replaced
 * @param offering whether the stream lacks this reader's state and it should be appended as a
 *     snapshot
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

  /** Returns whether the state includes all records reported by the log service. */
  public boolean caughtUp() {
    return !seeking && !outage && applied >= end;
  }
}
