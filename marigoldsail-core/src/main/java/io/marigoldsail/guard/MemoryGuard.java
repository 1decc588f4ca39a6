package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the task to evict when the VM's memory is nearly full.
 *
 * <p>Guards against tasks that use far more memory than they declared. Throttling frees no memory,
 * and a VM that runs out of it loses the service and all tasks at once. So the task that exceeds
 * its booking by most is evicted, outside of any budget.
 */
public final class MemoryGuard {
  /** Fraction of the memory above which it is nearly full; below 1 because measurements lag. */
  private static final double MAX_USED_FRACTION = 0.95;

  private MemoryGuard() {}

  /**
   * Returns the eviction that is needed, or empty.
   *
   * @param tasks the running batch tasks
   * @param othersBytes memory used by everything else on the VM, in bytes
   * @param capacityBytes the VM's memory, in bytes
   */
  public static Optional<GuardAction> decide(
      List<GuardedTask> tasks, long othersBytes, long capacityBytes) {
    requireNonNull(tasks, "tasks");
    long used = othersBytes;
    for (GuardedTask task : tasks) {
      used += task.used().memoryBytes();
    }
    if (used <= capacityBytes * MAX_USED_FRACTION) {
      return Optional.empty();
    }
    return tasks.stream()
        .filter(task -> excess(task) > 0)
        .max(Comparator.comparingLong(MemoryGuard::excess))
        .map(MemoryGuard::evict);
  }

  private static GuardAction evict(GuardedTask task) {
    return new GuardAction.Evict(
        task.token(),
        "uses %d bytes of memory, %d were booked, and the VM's memory is nearly full"
            .formatted(task.used().memoryBytes(), task.booked().memoryBytes()));
  }

  private static long excess(GuardedTask task) {
    return task.used().memoryBytes() - task.booked().memoryBytes();
  }
}
