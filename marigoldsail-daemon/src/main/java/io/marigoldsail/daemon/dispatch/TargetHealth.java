package io.marigoldsail.daemon.dispatch;

/** What a probe of a target tells. */
public enum TargetHealth {
  /** It takes work. */
  SERVING,
  /** It takes nothing new: it says so, or nobody listens at its address. */
  LEAVING,
  /** The probe got no clear answer, such as from a full target; what was known before holds. */
  UNKNOWN
}
