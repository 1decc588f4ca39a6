package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * A batch task that a guard may throttle or evict.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param token its fencing token
 * @param program the program that it runs; tasks of one program behave alike
 * @param booked the resources booked for it
 * @param used the resources that it last used; the booked ones before the first measurement
 * @param startedNanos when it started
 * @param checkpointedNanos when it last wrote a checkpoint, or started
 * @param finishByMillis when it should be done, in milliseconds since the Unix epoch; 0 for none
 * @param expectedSlowdown expected slowdown of the service by this task, learned by entries from
 *     other VMs: 0.5 for half as long again; 0 if unknown
 * @param evictable whether an eviction loses at most work, not the outcome
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
