package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a side process reports a change to an entry.
 *
 * <p>Load pattern: under load a VM changes tens of times a second, and a report tells its whole
 * state. Reports of every change to every entry grow with entries times VMs: they fill the thin
 * link of an entry, and the configuration, answers of the store and leases come late behind them.
 * So a change of a run is told at once only to the entry that owns it. The others place new work by
 * the room that is left; they are told in turns, so that a side process sends as many reports a
 * second to ten entries as to two. That a VM takes nothing more, or takes work again, concerns all.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
final class ReportPacer {
  /**
   * Between two reports to an entry that no change concerned, for each entry that is reached, in
   * nanoseconds.
   */
  static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** The part of a turn for which those that fall due are gathered. */
  private static final int COALESCING_DIVISOR = 4;

  /**
   * Between two regular reports to an entry that owns nothing on the VM, in regular turns: few
   * enough for the VM not to count as silent there where a report comes late.
   */
  static final int NON_OWNER_ROUNDS = 2;

  private final Map<String, Long> lastSentAt = new HashMap<>();
  private final Map<String, Long> lastPeriodicRound = new HashMap<>();
  private long round;

  /** Notes that the member is sent a report now. */
  void reportSent(String member, long now) {
    lastSentAt.put(requireNonNull(member, "member"), now);
  }

  /** Begins the next turn of regular reports. */
  void beginRound() {
    round++;
  }

  /** Notes that the member is sent a report now that asks for a lease. */
  void periodicReportSent(String member, long now) {
    reportSent(member, now);
    lastPeriodicRound.put(member, round);
  }

  /**
   * Returns whether the member is sent a regular report in this turn.
   *
   * @param member of the entries
   * @param owns whether it has runs or ends on the VM, or ordered some
   */
  boolean isPeriodicReportDue(String member, boolean owns) {
    Long last = lastPeriodicRound.get(member);
    return owns || last == null || round - last >= NON_OWNER_ROUNDS;
  }

  /** Forgets a member that is not reached any more. */
  void remove(String member) {
    lastSentAt.remove(member);
    lastPeriodicRound.remove(member);
  }

  /**
   * Returns when the member is to be told of a change; now, or later.
   *
   * @param member of the entries
   * @param concerned whether it owns a run that changed, or must know of the VM at once
   * @param entries how many entries are reached
   */
  long dueAt(String member, boolean concerned, int entries, long now) {
    checkArgument(entries > 0, "entries is not positive: %s", entries);
    Long last = lastSentAt.get(member);
    if (concerned || last == null) {
      return now;
    }
    return Math.max(now, last + minIntervalNanos(entries));
  }

  /**
   * Returns how long after the first member fell due those are told that did so by then, in
   * nanoseconds: one timer and one look at the room serve all of them, and the next time they fall
   * due together.
   */
  static long coalescingNanos(int entries) {
    return minIntervalNanos(entries) / COALESCING_DIVISOR;
  }

  private static long minIntervalNanos(int entries) {
    return SPACING_NANOS * entries;
  }
}
