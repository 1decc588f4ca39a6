package io.marigoldsail.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The preemptions under way inside a {@link TaskTable}: at most one for a task, and one on a VM.
 *
 * <p>Not safe for use by several threads.
 */
final class Preemptions {
  private final Map<String, Preemption> byTask = new TreeMap<>();
  private final Map<Long, Preemption> byRegistration = new HashMap<>();

  /** Returns all, by the urgent task's name. */
  List<Preemption> all() {
    return List.copyOf(byTask.values());
  }

  /**
   * Takes in a preemption whose task waits and whose victims make room enough, unless another one
   * is under way for the task, or on the VM.
   *
   * <p>Entries that look at the same urgent task at once each choose victims. Only one of them may
   * have its way; the others' victims would lose work for nothing.
   */
  boolean accept(long position, TaskRecord.Preempted preempted) {
    Preemption former = byTask.get(preempted.task());
    boolean outdated = (former == null ? 0 : former.position()) != preempted.replaces();
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

  /** Returns what is kept on the registration from the given task, or nothing. */
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

  /** Ends the task's preemption, if there is one. */
  void end(String task) {
    Preemption ended = byTask.remove(task);
    if (ended != null) {
      byRegistration.remove(ended.registration());
    }
  }

  /** Ends the preemption on a registration that gets nothing new any more. */
  void endOnRegistration(long registration) {
    Preemption ended = byRegistration.get(registration);
    if (ended != null) {
      end(ended.task());
    }
  }

  void replace(List<Preemption> all) {
    byTask.clear();
    byRegistration.clear();
    all.forEach(this::put);
  }
}
