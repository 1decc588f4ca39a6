package io.marigoldsail.daemon.dispatch;

/** The result of a health probe of a target. */
public enum TargetHealth {
  /** The target accepts work. */
  SERVING,
  /** The target accepts no new work: it says so, or nothing listens at its address. */
  LEAVING,
  /** The probe was inconclusive, such as at an overloaded target; the last result still holds. */
  UNKNOWN
}
