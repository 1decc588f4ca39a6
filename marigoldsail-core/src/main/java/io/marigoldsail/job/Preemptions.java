package io.marigoldsail.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The pending preemptions of a {@link TaskTable}, at most one for each task and one on each VM.
 *
 * <p>Not thread-safe.
 */
final class Preemptions {
  private final Map<String, Preemption> byTask = new TreeMap<>();
  private final Map<Long, Preemption> byRegistration = new HashMap<>();

  /** Returns all preemptions, ordered by the urgent task's name. */
  List<Preemption> all() {
    return List.copyOf(byTask.values());
  }

  /**
   * Adds a preemption unless another one is pending for the task or on the VM, and returns whether
   * it was added. The caller has checked that the task waits and that the victims free enough
   * capacity.
   *
   * <p>Several entries may choose victims for the same urgent task at once. If more than one of
   * their preemptions took effect, the further victims would lose work for nothing.
   */
  boolean accept(long position, TaskRecord.Preempted preempted) {
    Preemption previous = byTask.get(preempted.task());
    boolean outdated = (previous == null ? 0 : previous.position()) != preempted.replaces();
    if (outdated || isReservedForOther(preempted.registration(), preempted.task())) {
      return false;
    }
    put(
        new Preemption(
            position,
            preempted.task(),
            preempted.vm(),
            preempted.registration(),
            preempted.sizes(),
            preempted.victims()));
    return true;
  }

  /** Returns the resources on the registration that are reserved for a task other than this one. */
  Sizes reservedForOthers(String task, long registration) {
    return isReservedForOther(registration, task)
        ? byRegistration.get(registration).sizes()
        : Sizes.NONE;
  }

  private boolean isReservedForOther(long registration, String task) {
    Preemption preemption = byRegistration.get(registration);
    return preemption != null && !preemption.task().equals(task);
  }

  private void put(Preemption preemption) {
    end(preemption.task());
    byTask.put(preemption.task(), preemption);
    byRegistration.put(preemption.registration(), preemption);
  }

  /** Removes the task's preemption, if there is one. */
  void end(String task) {
    Preemption removed = byTask.remove(task);
    if (removed != null) {
      byRegistration.remove(removed.registration());
    }
  }

  /** Removes the preemption on a registration, if there is one. */
  void endOnRegistration(long registration) {
    Preemption removed = byRegistration.get(registration);
    if (removed != null) {
      end(removed.task());
    }
  }

  void replace(List<Preemption> all) {
    byTask.clear();
    byRegistration.clear();
    all.forEach(this::put);
  }
}
