package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The runs that this entry owns and that may be at work, by VM. Confined to the loop's thread. */
final class OpenRuns {
  private final Map<String, Map<RunKey, OpenRun>> byVm = new HashMap<>();

  /** Adds a run where its task's place is. */
  void add(OpenRun run) {
    String vm = run.task().place().orElseThrow().vm();
    byVm.computeIfAbsent(vm, unused -> new LinkedHashMap<>())
        .put(run.task().openRun(), requireNonNull(run, "run"));
  }

  /** Returns the VMs that may have runs. */
  ImmutableSet<String> vms() {
    return ImmutableSet.copyOf(byVm.keySet());
  }

  /**
   * Returns the runs on a VM, in the order in which they were ordered; may be changed meanwhile.
   */
  List<OpenRun> onVm(String vm) {
    return List.copyOf(byVm.getOrDefault(vm, Map.of()).values());
  }

  Optional<OpenRun> find(String vm, RunKey key) {
    return Optional.ofNullable(byVm.getOrDefault(vm, Map.of()).get(key));
  }

  void remove(String vm, RunKey key) {
    byVm.getOrDefault(vm, new HashMap<>()).remove(key);
  }

  /** Removes the runs of a partition that another process decides for. */
  void removePartition(OwnedPartition partition) {
    runMaps().forEach(runs -> runs.values().removeIf(run -> run.partition() == partition));
  }

  /** Removes the runs of the workflow whose tasks are open no more. */
  void removeEnded(Workflow workflow) {
    runMaps()
        .forEach(
            runs ->
                runs.values()
                    .removeIf(run -> run.task().workflow() == workflow && !run.task().isOpen()));
  }

  private Collection<Map<RunKey, OpenRun>> runMaps() {
    return byVm.values();
  }

  /** Returns how many runs of the task's step and occurrence are on the VM. */
  int countOfStep(String vm, WorkflowTask task) {
    int count = 0;
    for (RunKey key : byVm.getOrDefault(vm, Map.of()).keySet()) {
      if (key.task().workflow() == task.key().workflow()
          && key.task().occurrence() == task.key().occurrence()
          && key.task().step() == task.key().step()) {
        count++;
      }
    }
    return count;
  }
}
