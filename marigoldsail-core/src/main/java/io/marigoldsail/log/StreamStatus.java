package io.marigoldsail.log;

/**
 * The progress of a stream's reader. Immutable.
 *
 * @param appliedOffset the offset that is applied next; all records before it are in the state
 * @param endOffset the end of the stream as last reported by the log service, at least {@code
 *     appliedOffset}
 * @param firstOffset the oldest retained offset, as last reported
 * @param seekingSnapshot whether records expired unread and the reader looks for a snapshot; its
 *     state is then outdated
 * @param outage whether the last read failed
 * @param skippedCount the number of skipped records and entries
 * @param newerVersionCount the number of skipped records of a newer version
 * @param historyReplacementCount how often the history of the stream was replaced
 * @param offeringSnapshot whether the stream lacks this reader's state and it should be appended as
 *     a snapshot
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

  /** Returns whether the state includes all records reported by the log service. */
  public boolean caughtUp() {
    return !seekingSnapshot && !outage && appliedOffset >= endOffset;
  }
}
