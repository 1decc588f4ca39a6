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

  private static final class Standing {
    private int row;
    private long rest;
    private long until = Long.MIN_VALUE;
  }

  private final Map<String, Standing> standings = new HashMap<>();
  private double fleetFailures;

  /** Takes the end of a run on the VM: one that did its work, or one that failed. */
  public void ended(String vm, boolean failed, long now) {
    fleetFailures += ((failed ? 1 : 0) - fleetFailures) / FLEET_ENDS;
    Standing standing =
        standings.computeIfAbsent(requireNonNull(vm, "vm"), unused -> new Standing());
    if (!failed) {
      standing.row = 0;
      standing.rest = 0;
      return;
    }
    standing.row++;
    boolean again = standing.rest > 0;
    if ((standing.row >= ROW || again) && fleetFailures < FLEET_SHARE) {
      standing.rest = again ? Math.min(2 * standing.rest, LONGEST_REST_NANOS) : REST_NANOS;
      standing.until = now + standing.rest;
      standing.row = 0;
    }
  }

  /** Returns whether the VM is to be given no new work now. */
  public boolean rests(String vm, long now) {
    Standing standing = standings.get(vm);
    return standing != null && now < standing.until;
  }

  /** Forgets a VM that has a new worker. */
  public void renewed(String vm) {
    standings.remove(vm);
  }
}
