package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;
import java.util.List;

/**
 * A VM on which room might be made for an urgent task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param vm its name
 * @param registration its registration
 * @param free the room that is left there
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
