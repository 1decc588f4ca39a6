package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.PairEvidence;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells which evidence on pairs of images is to be reported to each entry: at intervals, what has
 * changed since it was last reported there. Confined to one thread; times are monotonic
 * nanoseconds.
 */
final class PairReports {
  private final MemberRateLimiter limiter;
  private final Map<String, Map<ImagePair, PairEvidence>> reported = new HashMap<>();

  /** Creates reports with the minimum interval between two to one entry. */
  PairReports(long intervalNanos) {
    this.limiter = new MemberRateLimiter(intervalNanos);
  }

  /** Returns whether a report to the member is due, and if so records it as sent. */
  boolean tryAcquire(String member, long now) {
    return limiter.tryAcquire(member, now);
  }

  /** Returns the evidence that the member was not reported yet, and records it as reported. */
  Map<ImagePair, PairEvidence> changes(String member, Map<ImagePair, PairEvidence> evidence) {
    Map<ImagePair, PairEvidence> before =
        reported.computeIfAbsent(requireNonNull(member, "member"), unused -> new HashMap<>());
    before.keySet().retainAll(evidence.keySet());
    Map<ImagePair, PairEvidence> changes = new HashMap<>();
    evidence.forEach(
        (pair, seen) -> {
          if (!seen.equals(before.put(pair, seen))) {
            changes.put(pair, seen);
          }
        });
    return changes;
  }

  /** Forgets a member that is no longer connected; what was sent to it may be lost. */
  void remove(String member) {
    limiter.remove(member);
    reported.remove(member);
  }
}
