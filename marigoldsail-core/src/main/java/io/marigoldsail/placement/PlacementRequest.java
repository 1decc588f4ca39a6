package io.marigoldsail.placement;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskState;
import java.util.Map;

/**
 * A task that wants a VM.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec its job
 * @param task the task
 * @param sizes what is booked for it
 * @param inGroup how many of the job's tasks run in each part of the fleet that the job's spread
 *     tells apart; empty where it tells none
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
