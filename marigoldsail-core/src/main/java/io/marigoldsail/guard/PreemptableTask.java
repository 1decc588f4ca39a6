package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskClass;

/**
 * A running attempt that may be preempted for an urgent task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task its task
 * @param token its fencing token
 * @param taskClass its class
 * @param urgent whether it is urgent itself
 * @param evictable whether an eviction loses at most work, not the outcome
 * @param booked the resources that an eviction frees
 * @param unsavedMillis run time since its last checkpoint, or its start, in milliseconds
 * @param finishByMillis when it should be done, in milliseconds since the Unix epoch; 0 for none
 * @param evictions number of earlier evictions of its task
 */
public record PreemptableTask(
    String task,
    long token,
    TaskClass taskClass,
    boolean urgent,
    boolean evictable,
    Sizes booked,
    long unsavedMillis,
    long finishByMillis,
    int evictions) {
  /** Checks the components. */
  public PreemptableTask {
    requireNonNull(task, "task");
    requireNonNull(taskClass, "taskClass");
    requireNonNull(booked, "booked");
  }
}
