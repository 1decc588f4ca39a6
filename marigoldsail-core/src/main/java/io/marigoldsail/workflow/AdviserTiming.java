package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing of a placement adviser, which decides which VMs may run a step.
 *
 * <p>Immutable.
 *
 * @param decideMillis time per call, in milliseconds, however many VMs the call names
 * @param periodMillis additional time per named VM, in milliseconds
 * @param validMillis how long a ticket is valid, in milliseconds
 */
public record AdviserTiming(long decideMillis, long periodMillis, long validMillis) {
  /** Checks the components. */
  public AdviserTiming {
    checkArgument(decideMillis >= 0, "decideMillis is negative: %s", decideMillis);
    checkArgument(periodMillis >= 0, "periodMillis is negative: %s", periodMillis);
    checkArgument(validMillis >= 0, "validMillis is negative: %s", validMillis);
  }

  /** Returns the duration of a call that names this many VMs, without queueing, in milliseconds. */
  public long callMillis(int named) {
    return decideMillis + periodMillis * named;
  }
}
