package io.marigoldsail.daemon.workflow;

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

/** The open runs that this entry owns, indexed by VM. Confined to the loop's thread. */
final class OpenRuns {
  private final Map<String, Map<RunKey, OpenRun>> byVm = new HashMap<>();

  /** Adds a run under the VM that it is assigned to. */
  void add(OpenRun run) {
    byVm.computeIfAbsent(run.place().vm(), unused -> new LinkedHashMap<>()).put(run.key(), run);
  }

  /** Returns all VMs that had an open run at some time; some may have none now. */
  ImmutableSet<String> vms() {
    return ImmutableSet.copyOf(byVm.keySet());
  }

  /** Returns a snapshot of the runs on a VM, in the order in which they were added. */
  List<OpenRun> onVm(String vm) {
    return List.copyOf(byVm.getOrDefault(vm, Map.of()).values());
  }

  Optional<OpenRun> find(String vm, RunKey key) {
    return Optional.ofNullable(byVm.getOrDefault(vm, Map.of()).get(key));
  }

  void remove(OpenRun run) {
    byVm.getOrDefault(run.place().vm(), new HashMap<>()).remove(run.key());
  }

  /** Removes the runs of a partition that another process owns. */
  void removePartition(OwnedPartition partition) {
    runMaps().forEach(runs -> runs.values().removeIf(run -> run.partition() == partition));
  }

  /** Removes the runs of the workflow that have ended. */
  void removeEnded(Workflow workflow) {
    runMaps()
        .forEach(
            runs ->
                runs.values().removeIf(run -> run.task().workflow() == workflow && !run.isOpen()));
  }

  private Collection<Map<RunKey, OpenRun>> runMaps() {
    return byVm.values();
  }

  /** Returns the number of runs of the task's step and occurrence on the VM. */
  int countOfStep(String vm, WorkflowTask task) {
    int count = 0;
    for (RunKey key : byVm.getOrDefault(vm, Map.of()).keySet()) {
      if (key.task().workflow().equals(task.key().workflow())
          && key.task().occurrence() == task.key().occurrence()
          && key.task().step() == task.key().step()) {
        count++;
      }
    }
    return count;
  }
}
