package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * How an entry watches its connections to side processes.
 *
 * @param connectionsPerTarget how many connections to each side process
 * @param checkIntervalNanos how often connections are looked at
 * @param pingAfterNanos how long after something was sent a quiet connection is pinged
 * @param idlePingNanos how long a connection may be quiet at all before it is pinged
 * @param silenceTimeoutNanos how long nothing may come after something was sent, before the
 *     connection is given up
 * @param resolveTimeoutNanos how long the outcome of a request is asked for after its connection
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
   * Two connections, silence noticed within two seconds, resolved within two more. A second is a
   * thousand round trips between availability zones, and longer than the pauses that the collector
   * makes in a heap of 40 MB.
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
        connectionsPerTarget > 0, "connections is not positive: %s", connectionsPerTarget);
    checkArgument(checkIntervalNanos > 0, "tickNanos is not positive: %s", checkIntervalNanos);
    checkArgument(pingAfterNanos > 0, "pingAfterNanos is not positive: %s", pingAfterNanos);
    checkArgument(idlePingNanos > 0, "idlePingNanos is not positive: %s", idlePingNanos);
    checkArgument(
        silenceTimeoutNanos > pingAfterNanos,
        "silenceNanos %s leaves no time to ping",
        silenceTimeoutNanos);
    checkArgument(resolveTimeoutNanos > 0, "resolveNanos is not positive: %s", resolveTimeoutNanos);
  }
}
