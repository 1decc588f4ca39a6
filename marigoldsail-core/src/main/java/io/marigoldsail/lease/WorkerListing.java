package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What a worker runs and recently ended, at one moment.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param boot the boot that the tasks belong to
 * @param tasks the running ones and those that ended within the worker's memory
 */
public record WorkerListing(WorkerBoot boot, List<WorkerTask> tasks) {
  /** Checks and copies the components. */
  public WorkerListing {
    requireNonNull(boot, "boot");
    tasks = List.copyOf(tasks);
  }
}
