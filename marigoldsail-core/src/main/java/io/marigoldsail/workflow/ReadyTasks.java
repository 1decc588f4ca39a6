package io.marigoldsail.workflow;

import java.util.List;
import java.util.function.Consumer;

/**
 * One look at the tasks of a workflow that may start now.
 *
 * <p>Passes on all that had an attempt, and of the others a limited number of each step: they are
 * alike, so the first ones show whether there is room for them. Confined to one thread.
 */
final class ReadyTasks {
  private final WorkflowSpec spec;
  private final WorkflowTasks tasks;
  private final int maxNew;
  private final Consumer<WorkflowTask> consumer;
  private final int[] newOfStep;
  private int fullSteps;
  private boolean omitted;

  /**
   * Creates a look.
   *
   * @param maxNew maximum number of tasks of one step without an attempt that are passed on
   */
  ReadyTasks(WorkflowSpec spec, WorkflowTasks tasks, int maxNew, Consumer<WorkflowTask> consumer) {
    this.spec = spec;
    this.tasks = tasks;
    this.maxNew = maxNew;
    this.consumer = consumer;
    this.newOfStep = new int[spec.steps().size()];
  }

  /** Passes ready tasks on, in order; returns whether further ones may start now. */
  boolean passAll(long wallMillis) {
    int occurrence = tasks.nextOccurrence(0);
    while (occurrence < spec.schedule().occurrenceCount() && isDue(occurrence, wallMillis)) {
      if (fullSteps == newOfStep.length) {
        int first = tasks.firstPosition(occurrence);
        tasks.blocks().forEachKept(first, tasks.blocks().size(), this::passKept);
        return true;
      }
      for (int step = 0; step < spec.steps().size(); step++) {
        if (areDependenciesDone(occurrence, step) && !tasks.isStepDone(occurrence, step)) {
          pass(occurrence, step);
        }
      }
      occurrence = tasks.nextOccurrence(occurrence + 1);
    }
    return omitted;
  }

  private boolean isDue(int occurrence, long wallMillis) {
    return spec.schedule().occurrences() == 0
        || spec.schedule().dueMillis(occurrence) <= wallMillis;
  }

  private boolean areDependenciesDone(int occurrence, int step) {
    return spec.steps().get(step).dependsOn().stream()
        .allMatch(earlier -> tasks.isStepDone(occurrence, earlier));
  }

  private boolean isGang(int step) {
    return spec.steps().get(step).traits().gang();
  }

  private void pass(int occurrence, int step) {
    if (isGang(step)) {
      passGang(occurrence, step);
      return;
    }
    int first = tasks.firstPosition(occurrence, step);
    for (int position = first; position < first + spec.steps().get(step).tasks(); position++) {
      WorkflowTask kept = tasks.blocks().kept(position);
      if (kept != null) {
        passUnlessOpenOrDone(kept);
      } else if (tasks.blocks().doneAttempt(position) == 0 && countNew(step)) {
        consumer.accept(tasks.newTask(position));
      }
    }
  }

  /**
   * Members share an attempt number: the next attempt waits for the ends of all runs of the last.
   */
  private void passGang(int occurrence, int step) {
    if (tasks.blocks().isNew(tasks.firstPosition(occurrence, step)) && !countNew(step)) {
      return;
    }
    List<WorkflowTask> members = tasks.of(occurrence, step);
    if (members.stream().noneMatch(WorkflowTask::isOpen)) {
      members.forEach(this::passUnlessOpenOrDone);
    }
  }

  private boolean countNew(int step) {
    if (newOfStep[step] >= maxNew) {
      omitted = true;
      return false;
    }
    newOfStep[step]++;
    fullSteps += newOfStep[step] == maxNew ? 1 : 0;
    return true;
  }

  private void passKept(WorkflowTask task) {
    TaskKey key = task.key();
    if (!isGang(key.step())) {
      passUnlessOpenOrDone(task);
    } else if (key.index() == 0) {
      passGang(key.occurrence(), key.step());
    }
  }

  private void passUnlessOpenOrDone(WorkflowTask task) {
    if (!task.isOpen() && !task.isDone()) {
      consumer.accept(task);
    }
  }
}
