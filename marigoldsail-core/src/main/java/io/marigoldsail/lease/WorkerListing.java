package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The running and recently ended attempts of a worker at one time.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param boot the boot that the tasks belong to
 * @param tasks the running ones, and the ended ones that the worker still remembers
 */
public record WorkerListing(WorkerBoot boot, List<WorkerTask> tasks) {
  /** Checks and copies the components. */
  public WorkerListing {
    requireNonNull(boot, "boot");
    tasks = List.copyOf(tasks);
  }
}
