package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides when a side process reports a change to an entry.
 *
 * <p>A change of a run is reported at once only to the entry that owns the run. The other entries
 * need only the free capacity, by which they place new runs, and are reported to at an interval
 * that grows with the number of entries, so that a side process sends no more reports a second to
 * ten entries than to two, and that is longer while no task waits for capacity there. More entries
 * serve more VMs, so that the capacity of one VM may be known later there. A change of whether the
 * VM accepts work is reported to all entries at once.
 *
 * <p>Under load a VM changes tens of times a second, and each report carries its whole state. If
 * every change went to every entry, the traffic would grow with entries times VMs and saturate an
 * entry's low-bandwidth link, which delays configuration, store responses and leases.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
final class ReportPacer {
  /**
   * Minimum interval between two reports to an entry that the changes do not affect, per connected
   * entry, in nanoseconds.
   */
  static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** The same with more than {@link #FEW_ENTRIES} entries. */
  static final long WIDE_SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Number of entries up to which reports are spaced by {@link #SPACING_NANOS}. */
  static final int FEW_ENTRIES = 3;

  /** Largest minimum interval, in nanoseconds; older reports lead to refused starts. */
  static final long MAX_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Factor of the minimum interval for entries at which no task waits for capacity. */
  static final int UNNEEDED_FACTOR = 4;

  /** Reports that become due within this fraction of the minimum interval are coalesced. */
  private static final int COALESCING_DIVISOR = 4;

  /**
   * Rounds between two periodic reports to an entry that owns nothing on the VM; low enough that
   * the entry does not consider the VM unresponsive when a report is late.
   */
  static final int NON_OWNER_ROUNDS = 2;

  /**
   * Rounds between two periodic reports to an entry that owns nothing on the VM and is sent changes
   * of capacity meanwhile: these show that the VM is up, and only images have to be reported.
   */
  static final int REPORTED_NON_OWNER_ROUNDS = 4;

  private final Map<String, Long> lastSentAt = new HashMap<>();
  private final Map<String, Long> lastRound = new HashMap<>();
  private final Map<String, Long> lastPeriodicRound = new HashMap<>();
  private long round;

  /** Records that a report is sent to the member now. */
  void reportSent(String member, long now) {
    lastSentAt.put(requireNonNull(member, "member"), now);
    lastRound.put(member, round);
  }

  /** Begins the next round of periodic reports. */
  void beginRound() {
    round++;
  }

  /** Records that a periodic report, which requests a lease, is sent to the member now. */
  void periodicReportSent(String member, long now) {
    reportSent(member, now);
    lastPeriodicRound.put(member, round);
  }

  /**
   * Returns whether a periodic report to the member is due in this round.
   *
   * @param member the entry
   * @param owns whether the entry owns runs or ends on the VM, or has ordered runs there
   */
  boolean isPeriodicReportDue(String member, boolean owns) {
    Long last = lastPeriodicRound.get(member);
    return owns
        || last == null
        || round - lastRound.get(member) >= NON_OWNER_ROUNDS
        || round - last >= REPORTED_NON_OWNER_ROUNDS;
  }

  /** Removes a member that is no longer connected. */
  void remove(String member) {
    lastSentAt.remove(member);
    lastRound.remove(member);
    lastPeriodicRound.remove(member);
  }

  /**
   * Returns when a change is to be reported to the member: now or later.
   *
   * @param member the entry
   * @param affected whether the entry owns a changed run, or the change is urgent for all entries
   * @param needsCapacity whether tasks wait for capacity at the entry
   * @param entries the number of connected entries; positive
   * @throws IllegalArgumentException if {@code entries} is not positive
   */
  long dueAt(String member, boolean affected, boolean needsCapacity, int entries, long now) {
    checkArgument(entries > 0, "entries is not positive: %s", entries);
    Long last = lastSentAt.get(member);
    if (affected || last == null) {
      return now;
    }
    long interval = minIntervalNanos(entries) * (needsCapacity ? 1 : UNNEEDED_FACTOR);
    return Math.max(now, last + interval);
  }

  /**
   * Returns for how long reports are coalesced after the first one is due, in nanoseconds. One
   * timer and one snapshot of the VM's state then serve all of them, and they become due together
   * again.
   */
  static long coalescingNanos(int entries) {
    return minIntervalNanos(entries) / COALESCING_DIVISOR;
  }

  private static long minIntervalNanos(int entries) {
    return entries <= FEW_ENTRIES
        ? SPACING_NANOS * entries
        : Math.min(WIDE_SPACING_NANOS * entries, MAX_INTERVAL_NANOS);
  }
}
