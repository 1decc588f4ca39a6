package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Which VMs are given no new work for a while, because what they start fails.
 *
 * <p>Load pattern: a worker that fails all that it starts is always idle, so a policy that goes by
 * room sends it everything, and tasks use up their attempts there. After {@link #ROW} failures in a
 * row without a success between them the VM rests; each time it fails again right after, twice as
 * long, so that a VM that is broken for good costs one task now and then. Tasks that fail
 * everywhere do not blame VMs: where more than {@link #FLEET_SHARE} of all recent ends are
 * failures, none rests.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class VmTrust {
  /** Failures in a row after which a VM rests; one in twenty tasks fails by its own fault. */
  static final int ROW = 3;

  /** The first rest, in nanoseconds. */
  static final long REST_NANOS = 1_500_000_000L;

  /** The longest rest, in nanoseconds. */
  static final long LONGEST_REST_NANOS = 12_000_000_000L;

  /** The share of failures among all ends from which on VMs are not to blame. */
  static final double FLEET_SHARE = 0.5;

  /** How many ends the share is taken over, roughly. */
  private static final double FLEET_ENDS = 60;

  private static final class Record {
    private int row;
    private long rest;
    private long until = Long.MIN_VALUE;
  }

  private final Map<String, Record> records = new HashMap<>();
  private double fleetFailures;

  /** Takes the end of a run on the VM: one that did its work, or one that failed. */
  public void ended(String vm, boolean failed, long now) {
    fleetFailures += ((failed ? 1 : 0) - fleetFailures) / FLEET_ENDS;
    Record record = records.computeIfAbsent(requireNonNull(vm, "vm"), unused -> new Record());
    if (!failed) {
      record.row = 0;
      record.rest = 0;
      return;
    }
    record.row++;
    boolean again = record.rest > 0;
    if ((record.row >= ROW || again) && fleetFailures < FLEET_SHARE) {
      record.rest = again ? Math.min(2 * record.rest, LONGEST_REST_NANOS) : REST_NANOS;
      record.until = now + record.rest;
      record.row = 0;
    }
  }

  /** Returns whether the VM is to be given no new work now. */
  public boolean rests(String vm, long now) {
    Record record = records.get(vm);
    return record != null && now < record.until;
  }

  /** Forgets a VM that has a new worker. */
  public void renewed(String vm) {
    records.remove(vm);
  }
}
