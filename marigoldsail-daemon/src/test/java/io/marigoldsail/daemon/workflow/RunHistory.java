package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What all workers ran, and whether a task was ever in two places. Safe for any thread. */
final class RunHistory {
  private final Map<TaskKey, Set<RunKey>> active = new HashMap<>();
  private final Map<TaskKey, Integer> starts = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  synchronized void began(RunKey run) {
    Set<RunKey> now = active.computeIfAbsent(run.task(), unused -> new HashSet<>());
    now.add(run);
    if (now.size() > 1) {
      broken.add("in two places: " + now);
    }
    starts.merge(run.task(), 1, Integer::sum);
  }

  synchronized void ended(RunKey run) {
    active.getOrDefault(run.task(), new HashSet<>()).remove(run);
  }

  synchronized List<String> broken() {
    return List.copyOf(broken);
  }

  synchronized int starts(TaskKey task) {
    return starts.getOrDefault(task, 0);
  }

  synchronized int totalStarts() {
    return starts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
