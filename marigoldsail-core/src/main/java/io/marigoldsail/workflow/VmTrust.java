package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Excludes VMs from new work for a while after repeated failures there.
 *
 * <p>Guards against a worker that fails everything it starts: it is always idle, so a policy that places by free capacity sends it all work, and tasks use up their attempts there. A VM is quarantined after {@link #ROW} consecutive failures. A failure right after a quarantine doubles the next one, so that a VM that is broken permanently costs one task now and then. While the ratio of failures among all recent ends is {@link #FLEET_SHARE} or more, the tasks are assumed to be at fault, and no VM is quarantined.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmTrust {
  /** Consecutive failures that quarantine a VM; one task in twenty fails through its own fault. */
  static final int ROW = 3;

  /** Duration of the first quarantine, in nanoseconds. */
  static final long REST_NANOS = 1_500_000_000L;

  /** Longest quarantine, in nanoseconds. */
  static final long LONGEST_REST_NANOS = 12_000_000_000L;

  /** Ratio of failures in the fleet from which on no VM is quarantined. */
  static final double FLEET_SHARE = 0.5;

  /** Number of ended runs over which the failure ratio of the fleet is averaged, roughly. */
  private static final double FLEET_ENDS = 60;

  private static final class Standing {
    private int row;
    private long rest;
    private long until = Long.MIN_VALUE;
  }

  private final Map<String, Standing> standings = new HashMap<>();
  private double fleetFailures;

  /**
   * Records the end of a run on the VM.
   *
   * @param vm the VM
   * @param failed whether the run failed rather than completed
   * @param now monotonic nanoseconds
   */
  public void ended(String vm, boolean failed, long now) {
    fleetFailures += ((failed ? 1 : 0) - fleetFailures) / FLEET_ENDS;
    Standing record =
        standings.computeIfAbsent(requireNonNull(vm, "vm"), unused -> new Standing());
    if (!failed) {
      record.row = 0;
      record.rest = 0;
      return;
    }
    record.row++;
    boolean repeated = record.rest > 0;
    if ((record.row >= ROW || repeated) && fleetFailures < FLEET_SHARE) {
      record.rest = repeated ? Math.min(2 * record.rest, LONGEST_REST_NANOS) : REST_NANOS;
      record.until = now + record.rest;
      record.row = 0;
    }
  }

  /** Returns whether the VM is to be given no new work now. */
  public boolean rests(String vm, long now) {
    Standing record = standings.get(vm);
    return record != null && now < record.until;
  }

  /** Drops the record of a VM that has a new worker. */
  public void renewed(String vm) {
    standings.remove(vm);
  }
}
