package io.marigoldsail.log;

/** What a reader does when its stream turns out to be another one than it has read so far. */
public enum HistoryReplacementPolicy {
  /**
   * Reads the new stream from its beginning and keeps its state: for a stream whose entries are
   * repeated all the time, so that what is old expires.
   */
  READ_ON,
  /**
   * Keeps its state in force and offers it to the new stream by a snapshot, from which all readers
   * go on: for a state whose versions are numbered, so that the latest one can be told.
   */
  CARRY_OVER,
  /**
   * Keeps its state, applies and appends nothing, and goes on once the former history is back: for
   * a state that decides who may run what. Records of the old history that only a process now dead
   * had read may have let something run; whoever carried an older state over would run it twice.
   */
  HALT
}
