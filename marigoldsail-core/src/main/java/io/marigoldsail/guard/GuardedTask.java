package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * A batch task that a guard may throttle or evict.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param token its fencing token
 * @param program what it runs; tasks of one program behave alike
 * @param booked what was booked for it
 * @param used what it was last measured to use; the booked sizes before the first measurement
 * @param startedNanos when it started
 * @param checkpointedNanos when it last wrote a checkpoint, or started
 * @param finishByMillis when it should be done, in milliseconds since the Unix epoch; 0 for none
 * @param expectedSlowdown how much longer it is expected to make the service take, from what
 *     entries learned on other VMs: 0.5 for half as long again; 0 if nothing is known
 * @param evictable whether evicting it loses at most work, not its outcome
 */
public record GuardedTask(
    long token,
    String program,
    Sizes booked,
    Sizes used,
    long startedNanos,
    long checkpointedNanos,
    long finishByMillis,
    double expectedSlowdown,
    boolean evictable) {
  /** Checks the components. */
  public GuardedTask {
    requireNonNull(program, "program");
    requireNonNull(booked, "booked");
    requireNonNull(used, "used");
  }
}
