package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import java.util.List;

/**
 * A VM on which tasks may be preempted for an urgent task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm its name
 * @param registration its registration
 * @param free its free resources
 * @param tasks the attempts that run there
 */
public record PreemptableVm(String vm, long registration, Sizes free, List<PreemptableTask> tasks) {
  /** Checks and copies the components. */
  public PreemptableVm {
    requireNonNull(vm, "vm");
    requireNonNull(free, "free");
    tasks = List.copyOf(tasks);
  }
}
