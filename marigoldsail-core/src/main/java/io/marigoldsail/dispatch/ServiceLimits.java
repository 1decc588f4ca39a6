package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What operators set for the waiting and refusing of one service. Immutable.
 *
 * @param targetDelayMillis how long a request may wait in an entry while the service is full for
 *     long, in milliseconds; a short burst may wait longer, up to its deadline
 * @param maxWaiting how many requests an entry holds at most for the service, whatever the delay
 */
public record ServiceLimits(long targetDelayMillis, int maxWaiting) {
  /** What holds where nothing is set. */
  public static final ServiceLimits DEFAULT = new ServiceLimits(20, 10_000);

  /** Checks the components. */
  public ServiceLimits {
    checkArgument(
        targetDelayMillis > 0, "targetDelayMillis is not positive: %s", targetDelayMillis);
    checkArgument(maxWaiting > 0, "maxWaiting is not positive: %s", maxWaiting);
  }
}
