package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a side process reports of its target; rides on announcements and on answers.
 *
 * @param inFlight requests that the target runs now, from all entries
 * @param waiting requests that the side process holds for a free slot
 * @param entries how many entries the side process heard of lately, so that each takes its share
 * @param draining whether the target takes nothing new
 */
public record TargetLoad(int inFlight, int waiting, int entries, boolean draining) {
  /** Checks the components. */
  public TargetLoad {
    checkArgument(inFlight >= 0, "inFlight is negative: %s", inFlight);
    checkArgument(waiting >= 0, "waiting is negative: %s", waiting);
    checkArgument(entries >= 0, "entries is negative: %s", entries);
  }
}
