package io.marigoldsail.routing;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetQueueLimit;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits how many requests this entry has in flight to one target, whose slots it shares with other
 * entries.
 *
 * <p>Load pattern: several entries with different loads that do not communicate. A fixed share
 * (slots over entries) leaves slots idle when the loads of the entries differ, and with nine
 * entries and eight slots it is less than one. Without a share, a busy entry starves a new one, and
 * all entries send to the target that had free slots in the last report.
 *
 * <p>An entry therefore estimates the target's requests in flight: the last report, which arrives
 * with its own responses and with announcements, corrected by what the entry sent and received
 * since. It reuses its own freed slots. Above its fair share it leaves half of the target queue
 * free, which entries below their fair share may use, so the shares converge without communication.
 * An entry with no request at a target may always send one, whatever the report says, so that a
 * stale report starves no entry; a full side process rejects that request.
 *
 * <p>Load pattern: reports are delayed. The difference of a stale report and this entry's current
 * requests is wrong by all changes since, and limits that follow it oscillate: with reports a
 * second old, three entries sent each request five times. So the estimate moves towards a report
 * depending on the time since the previous one, with time constant {@link
 * #REPORT_TIME_CONSTANT_NANOS}. This averages over ten responses of a busy entry, and follows the
 * announcements to an idle one. After each consecutive rejection by a target, the entry doubles the
 * time that it waits before sending another request.
 *
 * <p>Not thread-safe.
 */
final class SlotShare {
  /**
   * Requests sent within this time before a report may be missing from it; a shorter measured round
   * trip reduces this time. With a fixed time, all requests of an entry at a target that responds
   * within a millisecond were attributed to other entries, and the entry left half of the slots
   * idle.
   */
  static final long MAX_REPORT_LAG_NANOS = 1_000_000L;

  /** Initial time without further requests after a rejection; doubled by each consecutive one. */
  static final long REJECTION_BACKOFF_NANOS = 3_000_000L;

  private static final int MAX_DOUBLINGS = 5;

  /** Time constant with which the estimate of other entries' requests follows the reports. */
  private static final double REPORT_TIME_CONSTANT_NANOS = 150_000_000;

  private static final long NEVER = Long.MIN_VALUE;

  private final Deque<Long> recentSends = new ArrayDeque<>();
  private int slots;
  private long reportLagNanos = MAX_REPORT_LAG_NANOS;
  private int ownInFlight;
  private double othersInFlight;
  private int entries = 1;
  private int consecutiveRejections;
  private long backoffUntil = NEVER;
  private long reportedAt = NEVER;

  SlotShare(int slots) {
    this.slots = slots;
  }

  void resize(int newSlots) {
    slots = newSlots;
  }

  void attemptSent(long now) {
    ownInFlight++;
    recentSends.addLast(now);
    dropSendsBefore(now - reportLagNanos);
  }

  void attemptEnded() {
    ownInFlight = Math.max(0, ownInFlight - 1);
  }

  /** Records that an attempt was accepted, so the target may have capacity for more. */
  void attemptAccepted() {
    consecutiveRejections = 0;
    attemptEnded();
  }

  void attemptRejected(long now) {
    attemptEnded();
    backoffUntil =
        now + (REJECTION_BACKOFF_NANOS << Math.min(consecutiveRejections, MAX_DOUBLINGS));
    consecutiveRejections++;
    othersInFlight =
        Math.max(othersInFlight, slots + TargetQueueLimit.forSlots(slots) - ownInFlight);
  }

  /** Records the round-trip time of an answered attempt, in nanoseconds. */
  void recordRoundTrip(long nanos) {
    reportLagNanos = Math.min(reportLagNanos, nanos);
  }

  void loadReported(TargetLoad load, long now) {
    dropSendsBefore(now - reportLagNanos);
    int reportedOwn = Math.max(0, ownInFlight - recentSends.size());
    int reportedOthers = Math.max(0, load.inFlight() + load.waiting() - reportedOwn);
    othersInFlight += (reportedOthers - othersInFlight) * reportWeight(now);
    reportedAt = now;
    entries = Math.max(1, load.entries());
  }

  private double reportWeight(long now) {
    if (reportedAt == NEVER) {
      return 1;
    }
    return 1 - Math.exp((reportedAt - now) / REPORT_TIME_CONSTANT_NANOS);
  }

  private void dropSendsBefore(long time) {
    while (!recentSends.isEmpty() && recentSends.peekFirst() < time) {
      recentSends.removeFirst();
    }
  }

  int ownInFlight() {
    return ownInFlight;
  }

  int slots() {
    return slots;
  }

  double estimatedInFlight() {
    return ownInFlight + othersInFlight;
  }

  double loadRatio() {
    return estimatedInFlight() / slots;
  }

  /** Returns whether a request sent now would probably find a free slot. */
  boolean hasFreeSlot(long now) {
    return now >= backoffUntil && estimatedInFlight() < slots;
  }

  /** Returns whether a request may be sent now, to a free slot or to the target queue. */
  boolean hasQueueCapacity(long now) {
    if (now < backoffUntil) {
      return false;
    }
    int maxInFlight = slots + (TargetQueueLimit.forSlots(slots) + 1) / 2;
    if (ownInFlight < fairShare(maxInFlight)) {
      return ownInFlight == 0 || estimatedInFlight() < maxInFlight;
    }
    return estimatedInFlight() < maxInFlight - 1;
  }

  private int fairShare(int maxInFlight) {
    return Math.max(1, maxInFlight / entries);
  }

  /**
   * Returns this entry's even share of the slots plus one queued request; infinity if it is the
   * only entry.
   */
  double evenShare() {
    return entries == 1 ? Double.POSITIVE_INFINITY : (slots + 1.0) / entries;
  }

  /** Returns the end of the backoff after a rejection. */
  long backoffUntil() {
    return backoffUntil;
  }
}
