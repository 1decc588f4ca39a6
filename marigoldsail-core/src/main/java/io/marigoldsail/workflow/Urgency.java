package io.marigoldsail.workflow;

/** How much a place matters to a waiting task. */
public enum Urgency {
  /** It can be in time at full speed only: better wait for it than be slowed down. */
  HURRIED,
  /** Any place that is not too crowded will do. */
  ORDINARY,
  /**
   * Nothing of its workflow has been at work for some time: any place that holds its memory will
   * do, also where it is slowed down and however much fills there.
   */
  STARVED
}
