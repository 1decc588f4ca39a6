package io.marigoldsail.log;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * State that follows from a stream's entries alone, the same in every process.
 *
 * <p>All methods are called by one thread at a time, the follower's; a fold that other threads read
 * guards itself. They must not use a clock, a random source or anything else that differs between
 * processes. An entry that makes no sense folds to nothing; an exception is counted as such an
 * entry by the follower, and must leave the state as it was.
 */
public interface Fold {
  /** Applies the next entry. */
  void apply(LogEntry entry);

  /** Returns the whole state, as {@link #restore} takes it. */
  JsonNode snapshot();

  /**
   * Replaces the state by one that another process's {@link #snapshot} returned.
   *
   * @throws IllegalArgumentException if it makes no sense; the state is then as it was
   */
  void restore(JsonNode snapshot);

  /** Returns what becomes of this state when the stream turns out to be another one. */
  default HistoryReplacementPolicy historyReplacementPolicy() {
    return HistoryReplacementPolicy.HALT;
  }

  /**
   * Tells that offsets count from the beginning of another stream from now on. Only called under
   * {@link HistoryReplacementPolicy#READ_ON} and {@link HistoryReplacementPolicy#CARRY_OVER}; the
   * state stays.
   */
  default void beginNewHistory() {}

  /**
   * Returns a number that only grows as entries are applied, also across histories of the stream,
   * or 0. Under {@link HistoryReplacementPolicy#CARRY_OVER} the state with the highest one
   * prevails.
   */
  default long revision() {
    return 0;
  }

  /** Returns the {@link #revision} of another process's {@link #snapshot}, or 0. */
  default long revisionOf(JsonNode snapshot) {
    return 0;
  }
}
