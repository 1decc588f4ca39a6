package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing of a placement adviser, which decides which VMs may run a step.
 *
 * <p>Immutable. No time is over {@link Integer#MAX_VALUE} milliseconds, as durable records hold.
 *
 * @param decideMillis time per call, in milliseconds, however many VMs the call names
 * @param periodMillis additional time per named VM, in milliseconds
 * @param validMillis how long a ticket is valid, in milliseconds
 */
public record AdviserTiming(long decideMillis, long periodMillis, long validMillis) {
  /** Checks the components. */
  public AdviserTiming {
    checkRange("decideMillis", decideMillis);
    checkRange("periodMillis", periodMillis);
    checkRange("validMillis", validMillis);
  }

  private static void checkRange(String component, long millis) {
    checkArgument(
        millis >= 0 && millis <= Integer.MAX_VALUE, "%s is out of range: %s", component, millis);
  }

  /** Returns the duration of a call that names this many VMs, without queueing, in milliseconds. */
  public long callMillis(int named) {
    return decideMillis + periodMillis * named;
  }
}
