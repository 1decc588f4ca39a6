package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Judges the runs as the workers execute them, and keeps the history of a simulation if asked to.
 *
 * <p>Violations: two runs of a task at the same time on workers that are up, a start after an end
 * as done that was acknowledged then or later, and an attempt that starts twice. One thread.
 */
final class RunOracle {
  private static final int MAX_PRINTED_EVENTS = 200;

  private record Event(long at, Optional<TaskKey> task, String text) {}

  private final SimulatedTime time;
  private final boolean keepsHistory;
  private final List<Event> history = new ArrayList<>();
  private final Map<TaskKey, TreeMap<Integer, String>> active = new HashMap<>();
  private final Map<RunKey, String> started = new HashMap<>();
  private final Set<RunKey> crashed = new HashSet<>();
  private final Map<TaskKey, Long> lastStartOrder = new HashMap<>();
  private final Map<RunKey, Long> doneOrder = new HashMap<>();
  private final Set<TaskKey> acknowledged = new HashSet<>();
  private long order;
  private Optional<String> violation = Optional.empty();
  private Optional<TaskKey> violated = Optional.empty();

  RunOracle(SimulatedTime time, boolean keepsHistory) {
    this.time = time;
    this.keepsHistory = keepsHistory;
  }

  /** Records an event that concerns all tasks. */
  void note(Supplier<String> text) {
    if (keepsHistory) {
      history.add(new Event(time.now(), Optional.empty(), text.get()));
    }
  }

  /** Records an event that concerns one task. */
  void note(TaskKey task, Supplier<String> text) {
    if (keepsHistory) {
      history.add(new Event(time.now(), Optional.of(task), text.get()));
    }
  }

  void started(RunKey run, String worker) {
    note(run.task(), () -> "WORKER " + worker + " starts " + run);
    TreeMap<Integer, String> others = active.computeIfAbsent(run.task(), unused -> new TreeMap<>());
    if (!others.isEmpty()) {
      violate(run.task(), run + " starts on " + worker + " beside " + others);
    }
    String before = started.put(run, worker);
    if (before != null && !isRepeatedBySuccessor(run, before, worker)) {
      violate(run.task(), run + " starts for the second time, on " + worker);
    }
    if (acknowledged.contains(run.task())) {
      violate(run.task(), run + " starts on " + worker + " after an acknowledged completion");
    }
    others.put(run.attempt(), worker);
    lastStartOrder.put(run.task(), ++order);
  }

  /**
   * Returns whether a worker that started again under its id executes a start that was sent to its
   * earlier incarnation, which crashed with the run: nothing tells it that the run began.
   */
  private boolean isRepeatedBySuccessor(RunKey run, String before, String worker) {
    return crashed.contains(run) && WorkerIncarnation.areSuccessive(before, worker);
  }

  void ended(RunKey run, String worker, String how) {
    note(run.task(), () -> "WORKER " + worker + " ends " + run + ": " + how);
    active.get(run.task()).remove(run.attempt());
    if (how.equals("crashed")) {
      crashed.add(run);
    }
    if (how.equals("DONE")) {
      doneOrder.put(run, ++order);
    }
  }

  /** Records that the worker discards the end of the run, which was done. */
  void completionAcknowledged(RunKey run, String worker) {
    note(run.task(), () -> "WORKER " + worker + " discards the end of " + run);
    acknowledged.add(run.task());
    if (lastStartOrder.get(run.task()) > doneOrder.get(run)) {
      violate(run.task(), "the completion of " + run + " is acknowledged after a later start");
    }
  }

  private void violate(TaskKey task, String text) {
    note(task, () -> "VIOLATION " + text);
    if (violation.isEmpty()) {
      violation = Optional.of(time.now() + " ms: " + text);
      violated = Optional.of(task);
    }
  }

  /** Records that the tasks should be done by now and are not. */
  void reportUnfinished(List<TaskKey> tasks) {
    violate(tasks.get(0), "not done after the last fault: " + tasks);
  }

  Optional<String> violation() {
    return violation;
  }

  /** Returns the last events that concern the task of the violation, one a line. */
  String describe() {
    List<Event> relevant =
        history.stream()
            .filter(event -> event.task().isEmpty() || event.task().equals(violated))
            .toList();
    StringBuilder text = new StringBuilder();
    relevant
        .subList(Math.max(0, relevant.size() - MAX_PRINTED_EVENTS), relevant.size())
        .forEach(event -> text.append(event.at()).append(" ").append(event.text()).append('\n'));
    return text.toString();
  }
}
