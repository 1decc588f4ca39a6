package io.marigoldsail.workflow;

/** Urgency of placing a waiting task. */
public enum Urgency {
  /** It can be in time only at full speed, so it waits rather than run throttled. */
  HURRIED,
  /** It may run anywhere within the limits on best-effort tasks. */
  ORDINARY,
  /**
   * Nothing of its workflow has run for some time: it may run wherever its memory fits, even
   * throttled and beyond the limits on best-effort tasks.
   */
  STARVED
}
