package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What an adviser takes to say which VMs may run a step, and for how long that holds.
 *
 * <p>Immutable.
 *
 * @param decideMillis for one call, however many VMs it names
 * @param periodMillis for each VM that a call names
 * @param validMillis how long a ticket is good for
 */
public record AdviserTiming(long decideMillis, long periodMillis, long validMillis) {
  /** Checks the components. */
  public AdviserTiming {
    checkArgument(decideMillis >= 0, "decideMillis is negative: %s", decideMillis);
    checkArgument(periodMillis >= 0, "periodMillis is negative: %s", periodMillis);
    checkArgument(validMillis >= 0, "validMillis is negative: %s", validMillis);
  }

  /** Returns how long a call takes that names so many VMs, once its turn has come. */
  public long callMillis(int named) {
    return decideMillis + periodMillis * named;
  }
}
