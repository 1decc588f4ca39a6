package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the rate at which this entry resends its owner map to a side process that uses another.
 *
 * <p>While partitions move, two entries may hold different owner maps of one generation. A side
 * process reports its whole state to all entries on each change of its map; without a limit, both
 * entries would send their own map after each report, as fast as the links allow. An entry reads
 * the owners about as often as the limit, so a higher rate would not bring newer maps.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 *
 * @param <C> the type of a connection to a side process
 */
final class OwnerMapRateLimiter<C> {
  /** Minimum interval between two sends to one side process, in nanoseconds. */
  static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private final Map<C, Long> sentAt = new HashMap<>();

  /** Records that the map was sent on the connection. */
  void recordSent(C connection, long now) {
    sentAt.put(requireNonNull(connection, "connection"), now);
  }

  /** Returns whether the map was sent on the connection. */
  boolean hasSent(C connection) {
    return sentAt.containsKey(connection);
  }

  /** Returns whether the map may be sent again on the connection. */
  boolean maySend(C connection, long now) {
    Long last = sentAt.get(connection);
    return last == null || now - last >= MIN_INTERVAL_NANOS;
  }

  /** Removes a connection that has ended. */
  void remove(C connection) {
    sentAt.remove(connection);
  }
}
