package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What all workers ran, and whether a task was ever in two places or begun after it was done. Safe
 * for any thread.
 */
final class RunHistory {
  private final Map<TaskKey, Set<RunKey>> activeRuns = new HashMap<>();
  private final Map<TaskKey, Integer> starts = new HashMap<>();
  private final Set<RunKey> done = new HashSet<>();
  private final Set<RunKey> acknowledged = new HashSet<>();
  private final Set<RunKey> restarted = new HashSet<>();
  private final Map<TaskKey, Integer> doneBefore = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  synchronized void runStarted(RunKey run) {
    Set<RunKey> now = activeRuns.computeIfAbsent(run.task(), unused -> new HashSet<>());
    if (!now.add(run) || now.size() > 1) {
      violations.add("in two places: " + run + " beside " + now);
    }
    for (RunKey earlier : done) {
      if (earlier.task().equals(run.task())) {
        restarted.add(earlier);
        checkRestartedAfterDone(earlier);
      }
    }
    starts.merge(run.task(), 1, Integer::sum);
    doneBefore.putIfAbsent(run.task(), countDone(run.task(), run.task().step() - 1));
  }

  synchronized void runEnded(RunKey run) {
    activeRuns.getOrDefault(run.task(), new HashSet<>()).remove(run);
  }

  synchronized void done(RunKey run) {
    done.add(run);
  }

  /** An owner has noted the end as done: what it does not know of may well run again. */
  synchronized void acknowledged(RunKey run) {
    acknowledged.add(run);
    checkRestartedAfterDone(run);
  }

  private void checkRestartedAfterDone(RunKey run) {
    if (restarted.contains(run) && acknowledged.contains(run)) {
      violations.add("again after it was done: " + run);
    }
  }

  private int countDone(TaskKey of, int step) {
    return (int)
        done.stream()
            .map(RunKey::task)
            .filter(task -> task.workflow() == of.workflow() && task.step() == step)
            .distinct()
            .count();
  }

  /** Returns how many tasks of the step before were done when the task was first at work. */
  synchronized int doneBefore(TaskKey task) {
    return doneBefore.getOrDefault(task, 0);
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  synchronized int starts(TaskKey task) {
    return starts.getOrDefault(task, 0);
  }

  synchronized int totalStarts() {
    return starts.values().stream().mapToInt(Integer::intValue).sum();
  }
}
