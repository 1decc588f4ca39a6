package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Settings of an entry's connections to side processes.
 *
 * @param connections the number of connections to each side process
 * @param tickNanos the period of connection checks
 * @param pingAfterNanos how long a sent frame may stay unanswered before the connection is pinged
 * @param idlePingNanos how long no frame may be received before the connection is pinged
 * @param silenceNanos how long a sent frame may stay unanswered before the connection is closed
 * @param resolveNanos how long to try to resolve the outcome of a request whose connection was lost
 */
public record LinkTimes(
    int connections,
    long tickNanos,
    long pingAfterNanos,
    long idlePingNanos,
    long silenceNanos,
    long resolveNanos) {
  /**
   * Two connections, unresponsive ones detected within two seconds, outcomes resolved within two
   * more. A second is a thousand round trips between availability zones, and longer than the garbage
   * collection pauses of a 40 MB heap.
   */
  public static final LinkTimes DEFAULT =
      new LinkTimes(
          2,
          TimeUnit.MILLISECONDS.toNanos(100),
          TimeUnit.MILLISECONDS.toNanos(300),
          TimeUnit.MILLISECONDS.toNanos(1_000),
          TimeUnit.MILLISECONDS.toNanos(1_000),
          TimeUnit.MILLISECONDS.toNanos(2_000));

  /** Checks the components. */
  public LinkTimes {
    checkArgument(connections > 0, "connections is not positive: %s", connections);
    checkArgument(tickNanos > 0, "tickNanos is not positive: %s", tickNanos);
    checkArgument(pingAfterNanos > 0, "pingAfterNanos is not positive: %s", pingAfterNanos);
    checkArgument(idlePingNanos > 0, "idlePingNanos is not positive: %s", idlePingNanos);
    checkArgument(
        silenceNanos > pingAfterNanos, "silenceNanos %s leaves no time to ping", silenceNanos);
    checkArgument(resolveNanos > 0, "resolveNanos is not positive: %s", resolveNanos);
  }
}
