package io.marigoldsail.daemon.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * How an entry watches its connections to side processes.
 *
 * @param connections how many connections to each side process
 * @param tickNanos how often connections are looked at
 * @param pingAfterNanos how long after something was sent a quiet connection is pinged
 * @param idlePingNanos how long a connection may be quiet at all before it is pinged
 * @param silenceNanos how long nothing may come after something was sent, before the connection is
 *     given up
 * @param resolveNanos how long the outcome of a request is asked for after its connection was lost
 */
public record LinkTimes(
    int connections,
    long tickNanos,
    long pingAfterNanos,
    long idlePingNanos,
    long silenceNanos,
    long resolveNanos) {
  /**
   * Two connections, silence noticed within two seconds, resolved within two more. A second is a
   * thousand round trips between availability zones, and longer than the pauses that the collector
   * makes in a heap of 40 MB.
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
