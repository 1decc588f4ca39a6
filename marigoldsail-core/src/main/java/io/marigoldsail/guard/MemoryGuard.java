package io.marigoldsail.guard;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Finds the task that must go because the VM's memory is nearly full.
 *
 * <p>Load pattern: tasks that use far more memory than they declared. Throttling frees no memory,
 * and a VM that runs out of it loses the service and every task at once. So the one that exceeds
 * what was booked for it by most goes, outside of any budget.
 */
public final class MemoryGuard {
  /** Memory is nearly full from this part on; measurements lag, so not the last bit. */
  private static final double MAX_USED_FRACTION = 0.95;

  private MemoryGuard() {}

  /**
   * Returns the eviction that is needed, or empty.
   *
   * @param tasks the batch tasks that run
   * @param othersBytes what else uses memory on the VM, in bytes
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
