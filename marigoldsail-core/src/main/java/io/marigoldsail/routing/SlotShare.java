package io.marigoldsail.routing;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetQueueLimit;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many of one target's slots this entry may use, when other entries use them too.
 *
 * <p>Load pattern: several entries, full or not, that never talk to each other. A fixed share
 * (slots over entries) leaves slots empty whenever the load of the entries differs, and with nine
 * entries and eight slots it is less than one. Taking whatever looks free lets a busy entry starve
 * a new one, and sends all entries to the same target that looked free in the last report.
 *
 * <p>So an entry estimates what is in use: the last report, corrected by what it sent and got back
 * since, for each sees the reports that ride on its own answers. It refills its own freed slots by
 * itself; beyond its fair share it keeps half the waiting places free, which an entry below its
 * fair share may take: the shares move towards even without a word. An entry with nothing at a
 * target may always try one request, whatever the report says, so that nobody starves on an old
 * report; a full side process turns that one away.
 *
 * <p>Load pattern: reports are late. An old report less this entry's present requests is wrong by
 * all that changed since, and limits that follow it swing: three entries with reports a second old
 * sent each request five times. So the estimate moves towards a report by the time since the last
 * one, {@link #REPORT_TIME_CONSTANT_NANOS} for most of the way, which evens out ten answers of a
 * busy entry and believes the announcements of a quiet one; and each time a target turns a request
 * away, the entry waits twice as long before it sends another.
 *
 * <p>Not safe for use by several threads.
 */
final class SlotShare {
  /**
   * What was sent this lately may not have been there when the report was written; less where a
   * round trip was quicker. Without that, all that an entry has at a target which answers within a
   * millisecond counted as others', and the entry kept half the slots empty.
   */
  static final long MAX_REPORT_LAG_NANOS = 1_000_000L;

  /** How long a target that turned a request away is not sent more, unless it reports room. */
  static final long REJECTION_BACKOFF_NANOS = 3_000_000L;

  private static final int MAX_DOUBLINGS = 5;

  /** A report moves the estimate of what others use by how long it is since the last. */
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

  /** Takes note that a request found its place, so that there may be room for more. */
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

  /** Takes note how long a request was out that was answered. */
  void recordRoundTrip(long nanos) {
    reportLagNanos = Math.min(reportLagNanos, nanos);
  }

  void loadReported(TargetLoad load, long now) {
    dropSendsBefore(now - reportLagNanos);
    int seenOfOwn = Math.max(0, ownInFlight - recentSends.size());
    int seenOfOthers = Math.max(0, load.inFlight() + load.waiting() - seenOfOwn);
    othersInFlight += (seenOfOthers - othersInFlight) * reportWeight(now);
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

  /** Returns whether a request sent now would likely find a free slot. */
  boolean hasFreeSlot(long now) {
    return now >= backoffUntil && estimatedInFlight() < slots;
  }

  /** Returns whether a request may be sent now, to a free slot or to a place to wait. */
  boolean hasQueueCapacity(long now) {
    if (now < backoffUntil) {
      return false;
    }
    int aim = slots + (TargetQueueLimit.forSlots(slots) + 1) / 2;
    if (ownInFlight < fairShare(aim)) {
      return ownInFlight == 0 || estimatedInFlight() < aim;
    }
    return estimatedInFlight() < aim - 1;
  }

  private int fairShare(int aim) {
    return Math.max(1, aim / entries);
  }

  /** Returns this entry's even part of the slots and of one waiting place; all if it is alone. */
  double evenShare() {
    return entries == 1 ? Double.POSITIVE_INFINITY : (slots + 1.0) / entries;
  }

  /** Returns until when a target that turned a request away is left alone. */
  long backoffUntil() {
    return backoffUntil;
  }
}
