package io.marigoldsail.log;

/**
 * What a {@link StreamFollower} tells as it reads. All methods are called by its thread, one at a
 * time, and must return soon: the stream stands still meanwhile.
 */
public interface StreamListener {
  /** An entry was applied to the fold. */
  default void entryApplied(LogEntry entry) {}

  /** A read succeeded, whether or not it found anything, and what it found was applied. */
  default void pageApplied(StreamStatus status) {}

  /** A complete snapshot stands in the stream. */
  default void snapshotRead(long through) {}

  /** A part of a snapshot stands in the stream: some process is writing one. */
  default void snapshotPartRead() {}

  /** The state is about to be replaced by a snapshot's. */
  default void restoring() {}

  /** The state was replaced by a snapshot's; entries before its offset are not told one by one. */
  default void restored(StreamSnapshot snapshot) {}

  /** The stream is another one than was read so far; nothing more of it is applied before this. */
  default void historyReplaced(HistoryReplacementPolicy reaction, String detail) {}

  /** The stream that was read before is back after {@link HistoryReplacementPolicy#HALT}. */
  default void historyReturned() {}

  /** The log service stopped answering. */
  default void outageBegan(String detail) {}

  /** The log service answers again. */
  default void outageEnded() {}
}
