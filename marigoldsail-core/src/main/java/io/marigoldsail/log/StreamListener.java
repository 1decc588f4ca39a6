package io.marigoldsail.log;

/**
 * Callbacks of a {@link StreamFollower}. Called on its thread, one at a time; must return quickly,
 * because reading pauses meanwhile.
 */
public interface StreamListener {
  /** Called after an entry was applied to the fold. */
  default void entryApplied(LogEntry entry) {}

  /** Called after a successful read, when its records, if any, have been applied. */
  default void pageApplied(StreamStatus status) {}

  /**
   * Called when a complete snapshot was read; {@code nextOffset} is the offset that it continues
   * from.
   */
  default void snapshotRead(long nextOffset) {}

  /** Called when a part of a snapshot was read: some process is writing one. */
  default void snapshotPartRead() {}

  /** Called before the state is replaced by a snapshot. */
  default void restoring() {}

  /**
   * Called after the state was replaced by a snapshot; {@link #entryApplied} is not called for the
   * entries that it covers.
   */
  default void restored(StreamSnapshot snapshot) {}

  /**
   * Called when the history of the stream was replaced, before any entry of the new one is applied.
   */
  default void historyReplaced(HistoryReplacementPolicy reaction, String detail) {}

  /** Called when the former history is back after {@link HistoryReplacementPolicy#HALT}. */
  default void historyReturned() {}

  /** Called when the log service becomes unavailable. */
  default void outageBegan(String detail) {}

  /** Called when the log service is available again. */
  default void outageEnded() {}
}
