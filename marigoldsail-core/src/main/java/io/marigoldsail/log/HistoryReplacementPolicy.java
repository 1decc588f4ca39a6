package io.marigoldsail.log;

/**
 * How a reader proceeds when the history of its stream has been replaced: other records are stored
 * at the offsets that it has read.
 */
public enum HistoryReplacementPolicy {
  /**
   * Reads the new history from its beginning and keeps the state. For streams whose entries are
   * appended periodically, so that outdated state expires.
   */
  READ_ON,
  /**
   * Keeps the state and appends it to the new history as a snapshot, from which all readers
   * continue. For state with numbered revisions, where the latest one can be determined.
   */
  CARRY_OVER,
  /**
   * Keeps the state, applies and appends nothing, and resumes when the former history is back. For
   * state that decides which process may run a task: a lost record may have allowed a run, known
   * only to a process that has ended, and carrying over an older state would run the task twice.
   */
  HALT
}
