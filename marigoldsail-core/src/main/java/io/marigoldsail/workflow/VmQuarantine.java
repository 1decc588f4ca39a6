package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Excludes VMs from new work for a while after repeated failures there.
 *
 * <p>Guards against a worker that fails everything it starts: it is always idle, so a policy that
 * places by free capacity sends it all work, and tasks use up their attempts there. A VM is
 * quarantined after {@link #FAILURE_STREAK} consecutive failures. A further failure before the next
 * success doubles the quarantine, so that a VM that is broken permanently costs one task now and
 * then. While the ratio of failures among all recent ends is {@link #MAX_FLEET_FAILURE_RATIO} or
 * more, the tasks are assumed to be at fault, and no VM is quarantined.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmQuarantine {
  /** Consecutive failures that quarantine a VM; one task in twenty fails through its own fault. */
  static final int FAILURE_STREAK = 3;

  /** Duration of the first quarantine, in nanoseconds. */
  static final long INITIAL_QUARANTINE_NANOS = 1_500_000_000L;

  /** Longest quarantine, in nanoseconds. */
  static final long MAX_QUARANTINE_NANOS = 12_000_000_000L;

  /** Ratio of failures in the fleet from which on no VM is quarantined. */
  static final double MAX_FLEET_FAILURE_RATIO = 0.5;

  /** Number of ended runs over which the failure ratio of the fleet is averaged, roughly. */
  private static final double FLEET_SAMPLE_COUNT = 60;

  private static final class FailureRecord {
    private int failureStreak;
    private long quarantineNanos;
    private long quarantinedUntil = Long.MIN_VALUE;
  }

  private final Map<String, FailureRecord> records = new HashMap<>();
  private double fleetFailureRatio;

  /**
   * Records the end of a run on the VM.
   *
   * @param vm the VM
   * @param failed whether the run failed rather than completed
   * @param now monotonic nanoseconds
   */
  public void recordEnd(String vm, boolean failed, long now) {
    fleetFailureRatio += ((failed ? 1 : 0) - fleetFailureRatio) / FLEET_SAMPLE_COUNT;
    FailureRecord record =
        records.computeIfAbsent(requireNonNull(vm, "vm"), unused -> new FailureRecord());
    if (!failed) {
      record.failureStreak = 0;
      record.quarantineNanos = 0;
      return;
    }
    record.failureStreak++;
    boolean repeated = record.quarantineNanos > 0;
    if ((record.failureStreak >= FAILURE_STREAK || repeated)
        && fleetFailureRatio < MAX_FLEET_FAILURE_RATIO) {
      record.quarantineNanos =
          repeated
              ? Math.min(2 * record.quarantineNanos, MAX_QUARANTINE_NANOS)
              : INITIAL_QUARANTINE_NANOS;
      record.quarantinedUntil = now + record.quarantineNanos;
      record.failureStreak = 0;
    }
  }

  /** Returns whether the VM is to be given no new work now. */
  public boolean isQuarantined(String vm, long now) {
    FailureRecord record = records.get(vm);
    return record != null && now < record.quarantinedUntil;
  }

  /** Drops the record of a VM that has a new worker. */
  public void reset(String vm) {
    records.remove(vm);
  }
}
