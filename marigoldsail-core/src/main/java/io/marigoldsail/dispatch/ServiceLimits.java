package io.marigoldsail.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An operator's limits on the queue of one service. Immutable.
 *
 * @param targetDelayMillis longest wait in an entry's queue during lasting overload, in
 *     milliseconds; in a short burst a request may wait longer, up to its deadline
 * @param maxWaiting maximum number of requests that an entry queues for the service, whatever their
 *     delay
 */
public record ServiceLimits(long targetDelayMillis, int maxWaiting) {
  /** Limits of services without settings. */
  public static final ServiceLimits DEFAULT = new ServiceLimits(20, 10_000);

  /** Checks the components. */
  public ServiceLimits {
    checkArgument(
        targetDelayMillis > 0, "targetDelayMillis is not positive: %s", targetDelayMillis);
    checkArgument(maxWaiting > 0, "maxWaiting is not positive: %s", maxWaiting);
  }
}
