package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskState;
import java.util.Map;

/**
 * Placement request of a task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec its job
 * @param task the task
 * @param sizes the resources to book for it
 * @param inGroup number of the job's running tasks in each group of VMs that the job's spread
 *     distinguishes; empty if it distinguishes none
 */
public record PlacementRequest(
    JobSpec spec, TaskState task, Sizes sizes, Map<String, Integer> inGroup) {
  /** Checks and copies the components. */
  public PlacementRequest {
    requireNonNull(spec, "spec");
    requireNonNull(task, "task");
    requireNonNull(sizes, "sizes");
    inGroup = Map.copyOf(inGroup);
  }
}
