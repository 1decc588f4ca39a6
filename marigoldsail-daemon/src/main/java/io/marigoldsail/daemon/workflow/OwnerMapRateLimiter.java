package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a side process that goes by another map of owners is told this entry's again.
 *
 * <p>Guards against maps that chase each other: while partitions move, two entries may hold
 * different maps of one generation. A side process told by both in turn reports its whole state to
 * all entries each time, and is told again, as fast as links carry it. An entry reads the owners
 * anew about as often as this, so that telling more often tells nothing new.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 *
 * @param <C> a connection to a side process
 */
final class OwnerMapRateLimiter<C> {
  /** Between two tellings of one side process that goes by another map, in nanoseconds. */
  static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

  private final Map<C, Long> sentAt = new HashMap<>();

  /** Notes that the map was sent on the connection. */
  void recordSent(C connection, long now) {
    sentAt.put(requireNonNull(connection, "connection"), now);
  }

  /** Returns whether the map may be sent again on the connection. */
  boolean maySend(C connection, long now) {
    Long last = sentAt.get(connection);
    return last == null || now - last >= MIN_INTERVAL_NANOS;
  }

  /** Forgets a connection that has ended. */
  void remove(C connection) {
    sentAt.remove(connection);
  }
}
