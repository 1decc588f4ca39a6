package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Which VMs are given no new work for a while, because what they start fails.
 *
 * <p>Load pattern: a worker that fails all that it starts is always idle, so a policy that goes by
 * room sends it everything, and tasks use up their attempts there. After {@link #FAILURE_STREAK}
 * failures in a row without a success between them the VM rests; each time it fails again right
 * after, twice as long, so that a VM that is broken for good costs one task now and then. Tasks
 * that fail everywhere do not blame VMs: where more than {@link #MAX_FLEET_FAILURE_RATIO} of all
 * recent ends are failures, none rests.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmQuarantine {
  /** Failures in a row after which a VM rests; one in twenty tasks fails by its own fault. */
  static final int FAILURE_STREAK = 3;

  /** The first rest, in nanoseconds. */
  static final long INITIAL_QUARANTINE_NANOS = 1_500_000_000L;

  /** The longest rest, in nanoseconds. */
  static final long MAX_QUARANTINE_NANOS = 12_000_000_000L;

  /** The share of failures among all ends from which on VMs are not to blame. */
  static final double MAX_FLEET_FAILURE_RATIO = 0.5;

  /** How many ends the share is taken over, roughly. */
  private static final double FLEET_SAMPLE_COUNT = 60;

  private static final class FailureRecord {
    private int failureStreak;
    private long quarantineNanos;
    private long quarantinedUntil = Long.MIN_VALUE;
  }

  private final Map<String, FailureRecord> records = new HashMap<>();
  private double fleetFailureRatio;

  /** Takes the end of a run on the VM: one that did its work, or one that failed. */
  public void recordEnd(String vm, boolean failed, long now) {
    fleetFailureRatio += ((failed ? 1 : 0) - fleetFailureRatio) / FLEET_SAMPLE_COUNT;
    FailureRecord standing =
        records.computeIfAbsent(requireNonNull(vm, "vm"), unused -> new FailureRecord());
    if (!failed) {
      standing.failureStreak = 0;
      standing.quarantineNanos = 0;
      return;
    }
    standing.failureStreak++;
    boolean again = standing.quarantineNanos > 0;
    if ((standing.failureStreak >= FAILURE_STREAK || again)
        && fleetFailureRatio < MAX_FLEET_FAILURE_RATIO) {
      standing.quarantineNanos =
          again
              ? Math.min(2 * standing.quarantineNanos, MAX_QUARANTINE_NANOS)
              : INITIAL_QUARANTINE_NANOS;
      standing.quarantinedUntil = now + standing.quarantineNanos;
      standing.failureStreak = 0;
    }
  }

  /** Returns whether the VM is to be given no new work now. */
  public boolean isQuarantined(String vm, long now) {
    FailureRecord standing = records.get(vm);
    return standing != null && now < standing.quarantinedUntil;
  }

  /** Forgets a VM that has a new worker. */
  public void reset(String vm) {
    records.remove(vm);
  }
}
