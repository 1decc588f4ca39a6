package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how often something is sent to each member. Confined to one thread; times are monotonic
 * nanoseconds.
 */
final class MemberRateLimiter {
  private final long intervalNanos;
  private final Map<String, Long> sentAt = new HashMap<>();

  /** Creates a limiter with the minimum interval between two sends to a member. */
  MemberRateLimiter(long intervalNanos) {
    this.intervalNanos = intervalNanos;
  }

  /** Returns whether the member may be sent to now, and if so records it as sent. */
  boolean tryAcquire(String member, long now) {
    Long last = sentAt.get(requireNonNull(member, "member"));
    if (last != null && now - last < intervalNanos) {
      return false;
    }
    sentAt.put(member, now);
    return true;
  }

  /** Removes a member that is no longer connected. */
  void remove(String member) {
    sentAt.remove(member);
  }
}
