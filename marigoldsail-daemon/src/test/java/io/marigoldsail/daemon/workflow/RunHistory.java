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
 * Records the runs of all workers, and the violations: tasks that ran in two places at once, or
 * that were started again after an owner acknowledged them as done. Safe for any thread.
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
      violations.add("task runs in two places: " + run + " among " + now);
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

  /**
   * Records that an owner has acknowledged the run as done. A run whose end was never acknowledged
   * may legitimately be repeated.
   */
  synchronized void acknowledged(RunKey run) {
    acknowledged.add(run);
    checkRestartedAfterDone(run);
  }

  private void checkRestartedAfterDone(RunKey run) {
    if (restarted.contains(run) && acknowledged.contains(run)) {
      violations.add("task started again after it was done: " + run);
    }
  }

  private int countDone(TaskKey of, int step) {
    return (int)
        done.stream()
            .map(RunKey::task)
            .filter(task -> task.workflow().equals(of.workflow()) && task.step() == step)
            .distinct()
            .count();
  }

  /** Returns how many tasks of the preceding step were done when the task was first started. */
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
