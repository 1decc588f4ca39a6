package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Room on a VM that is being freed for one waiting urgent task, as folded from the log.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param position where it was accepted in the log
 * @param task the urgent task
 * @param vm the VM
 * @param registration that VM's registration
 * @param sizes what is kept there for the urgent task
 * @param victims the attempts that go
 */
public record Preemption(
    long position, String task, String vm, long registration, Sizes sizes, List<Victim> victims) {
  /** An attempt that goes: its task and fencing token. */
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
