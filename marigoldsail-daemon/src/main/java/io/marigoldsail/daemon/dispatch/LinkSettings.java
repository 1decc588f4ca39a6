package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Settings of an entry's connections to side processes.
 *
 * @param connectionsPerTarget the number of connections to each side process
 * @param checkIntervalNanos the period of connection checks
 * @param pingAfterNanos how long a sent frame may stay unanswered before the connection is pinged
 * @param idlePingNanos how long no frame may be received before the connection is pinged
 * @param silenceTimeoutNanos how long a sent frame may stay unanswered before the connection is
 *     closed
 * @param resolveTimeoutNanos how long to try to resolve the outcome of a request whose connection
 *     was lost
 */
public record LinkSettings(
    int connectionsPerTarget,
    long checkIntervalNanos,
    long pingAfterNanos,
    long idlePingNanos,
    long silenceTimeoutNanos,
    long resolveTimeoutNanos) {
  /**
   * Two connections, unresponsive ones detected within two seconds, outcomes resolved within two
   * more. A second is a thousand round trips between availability zones, and longer than the
   * garbage collection pauses of a 40 MB heap.
   */
  public static final LinkSettings DEFAULT =
      new LinkSettings(
          2,
          TimeUnit.MILLISECONDS.toNanos(100),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(1_000),
          TimeUnit.MILLISECONDS.toNanos(1_000),
          TimeUnit.MILLISECONDS.toNanos(2_000));

  /** Checks the components. */
  public LinkSettings {
    checkArgument(
        connectionsPerTarget > 0, "connectionsPerTarget is not positive: %s", connectionsPerTarget);
    checkArgument(
        checkIntervalNanos > 0, "checkIntervalNanos is not positive: %s", checkIntervalNanos);
    checkArgument(pingAfterNanos > 0, "pingAfterNanos is not positive: %s", pingAfterNanos);
    checkArgument(idlePingNanos > 0, "idlePingNanos is not positive: %s", idlePingNanos);
    checkArgument(
        silenceTimeoutNanos > pingAfterNanos,
        "silenceTimeoutNanos is not greater than pingAfterNanos: %s",
        silenceTimeoutNanos);
    checkArgument(
        resolveTimeoutNanos > 0, "resolveTimeoutNanos is not positive: %s", resolveTimeoutNanos);
  }
}
