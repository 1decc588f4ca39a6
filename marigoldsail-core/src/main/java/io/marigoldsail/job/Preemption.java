package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Capacity on a VM that is being freed for one waiting urgent task, folded from the log.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param position the position of its record in the log
 * @param task the urgent task
 * @param vm the VM
 * @param registration the VM's registration
 * @param sizes the resources reserved on the VM for the urgent task
 * @param victims the attempts to evict
 */
public record Preemption(
    long position, String task, String vm, long registration, Sizes sizes, List<Victim> victims) {
  /** An attempt to evict, by task and fencing token. */
  public record Victim(String task, long token) {
    /** Checks the components. */
    public Victim {
      requireNonNull(task, "task");
    }
  }

  /** Checks and copies the components. */
  public Preemption {
    requireNonNull(task, "task");
    requireNonNull(vm, "vm");
    requireNonNull(sizes, "sizes");
    victims = List.copyOf(victims);
  }
}
