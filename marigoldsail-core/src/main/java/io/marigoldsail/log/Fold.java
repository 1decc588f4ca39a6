package io.marigoldsail.log;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * State computed from the entries of a stream alone, and therefore equal in every process.
 *
 * <p>Methods are called by the follower's thread, one at a time; a fold that other threads read
 * synchronizes itself. An implementation must be deterministic: no clock, no random source, nothing
 * else that differs between processes. It ignores invalid entries. If it throws, the follower
 * counts the entry as skipped; the state must then be unchanged.
 */
public interface Fold {
  /** Applies the next entry. */
  void apply(LogEntry entry);

  /** Returns the complete state in the format that {@link #restore} accepts. */
  JsonNode snapshot();

  /**
   * Replaces the state by a {@link #snapshot} of another process.
   *
   * @throws IllegalArgumentException if the snapshot is invalid; the state is then unchanged
   */
  void restore(JsonNode snapshot);

  /** Returns how to proceed when the history of the stream has been replaced. */
  default HistoryReplacementPolicy historyReplacementPolicy() {
    return HistoryReplacementPolicy.HALT;
  }

  /**
   * Called when offsets restart in a replaced history, only under {@link
   * HistoryReplacementPolicy#READ_ON} and {@link HistoryReplacementPolicy#CARRY_OVER}. The state
   * stays.
   */
  default void beginNewHistory() {}

  /**
   * Returns a number that never decreases as entries are applied, also across histories of the
   * stream, or 0. Under {@link HistoryReplacementPolicy#CARRY_OVER} the state with the highest
   * revision wins.
   */
  default long revision() {
    return 0;
  }

  /** Returns the {@link #revision} in a {@link #snapshot} of another process, or 0. */
  default long revisionOf(JsonNode snapshot) {
    return 0;
  }
}
