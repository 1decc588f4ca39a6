package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkElementIndex;

import com.google.common.collect.ImmutableList;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks of one workflow in the order of occurrence, step and index, and how many of them are
 * done and open.
 *
 * <p>Objects of tasks without an attempt, and of those that are done, are created on demand, see
 * {@link TaskBlocks}. An occurrence that is not due takes no memory. Confined to one thread.
 */
final class WorkflowTasks {
  /** Estimated memory of what is known of an occurrence that is done in part, in bytes. */
  private static final int OCCURRENCE_BYTES = 80;

  /** A step of one occurrence. */
  record StepOccurrence(int occurrence, int step) {}

  private final Workflow workflow;
  private final WorkflowSpec spec;
  private final TaskBlocks blocks;
  private final int tasksPerOccurrence;
  private final int[] firstTaskOfStep;

  /** Done tasks by step, of each occurrence that is done in part. */
  private final Map<Integer, int[]> doneTasksOfStep = new HashMap<>();

  private final BitSet doneOccurrences = new BitSet();
  private int doneTasks;
  private int openTasks;

  WorkflowTasks(Workflow workflow, WorkflowSpec spec) {
    this.workflow = workflow;
    this.spec = spec;
    int stepCount = spec.steps().size();
    this.firstTaskOfStep = new int[stepCount];
    int first = 0;
    for (int step = 0; step < stepCount; step++) {
      firstTaskOfStep[step] = first;
      first += spec.steps().get(step).tasks();
    }
    this.tasksPerOccurrence = first;
    this.blocks = new TaskBlocks(first * spec.schedule().occurrenceCount());
  }

  TaskBlocks blocks() {
    return blocks;
  }

  /** Restores a task that has no attempt yet from its durable state. */
  void restore(int position, TaskRecordState state) {
    if (state.equals(TaskRecordState.NEW)) {
      return;
    }
    WorkflowTask task = newTask(position);
    task.restore(state);
    blocks.keep(position, task);
    openTasks += task.isOpen() ? 1 : 0;
    if (task.isDone()) {
      completed(task);
    }
  }

  /** Returns an object for a task without an attempt; it is kept once it has one. */
  WorkflowTask newTask(int position) {
    int occurrence = position / tasksPerOccurrence;
    int inOccurrence = position % tasksPerOccurrence;
    int found = Arrays.binarySearch(firstTaskOfStep, inOccurrence);
    int step = found >= 0 ? found : -found - 2;
    return new WorkflowTask(
        workflow,
        new TaskKey(spec.id(), occurrence, step, inOccurrence - firstTaskOfStep[step]),
        spec.steps().get(step));
  }

  private WorkflowTask get(int position) {
    WorkflowTask kept = blocks.kept(position);
    if (kept != null) {
      return kept;
    }
    WorkflowTask task = newTask(position);
    if (blocks.doneAttempt(position) > 0) {
      task.restoreDone(blocks.doneAttempt(position));
    }
    return task;
  }

  WorkflowTask get(TaskKey key) {
    return get(position(key));
  }

  /** Returns whether the workflow has a task with the key. */
  boolean contains(TaskKey key) {
    return key.workflow().equals(spec.id())
        && key.occurrence() < spec.schedule().occurrenceCount()
        && key.step() < spec.steps().size()
        && key.index() < spec.steps().get(key.step()).tasks();
  }

  int position(TaskKey key) {
    return firstPosition(key.occurrence(), key.step()) + key.index();
  }

  /** Returns the position of the first task of a step. */
  int firstPosition(int occurrence, int step) {
    return occurrence * tasksPerOccurrence + firstTaskOfStep[step];
  }

  /** Returns the position of the first task of an occurrence. */
  int firstPosition(int occurrence) {
    return occurrence * tasksPerOccurrence;
  }

  /** Returns a view of all tasks. */
  List<WorkflowTask> all() {
    return view(0, blocks.size());
  }

  /** Returns a view of the tasks of one step of one occurrence. */
  List<WorkflowTask> of(int occurrence, int step) {
    int first = firstPosition(occurrence, step);
    return view(first, first + spec.steps().get(step).tasks());
  }

  private List<WorkflowTask> view(int first, int end) {
    return new AbstractList<>() {
      @Override
      public WorkflowTask get(int index) {
        return WorkflowTasks.this.get(first + checkElementIndex(index, end - first));
      }

      @Override
      public int size() {
        return end - first;
      }
    };
  }

  /** Keeps the task, whose durable state is about to change. */
  void changed(WorkflowTask task) {
    blocks.keep(position(task.key()), task);
  }

  void opened(WorkflowTask task) {
    changed(task);
    openTasks++;
  }

  void closed(WorkflowTask task) {
    changed(task);
    openTasks--;
  }

  /** Counts a task that has just completed, and drops what no longer matters of it. */
  void completed(WorkflowTask task) {
    TaskKey key = task.key();
    doneTasks++;
    int[] counts =
        doneTasksOfStep.computeIfAbsent(key.occurrence(), unused -> new int[spec.steps().size()]);
    counts[key.step()]++;
    if (Arrays.stream(counts).sum() == tasksPerOccurrence) {
      doneTasksOfStep.remove(key.occurrence());
      doneOccurrences.set(key.occurrence());
    }
    if (task.isReplaceableByDone()) {
      blocks.replaceByDone(position(key), task.lastAttempt());
    } else {
      changed(task);
    }
  }

  /** Returns the first occurrence from the given one on that is not done. */
  int nextOccurrence(int from) {
    return doneOccurrences.nextClearBit(from);
  }

  boolean isStepDone(int occurrence, int step) {
    return doneTasks(occurrence, step) == spec.steps().get(step).tasks();
  }

  int doneTasks(int occurrence, int step) {
    if (doneOccurrences.get(occurrence)) {
      return spec.steps().get(step).tasks();
    }
    int[] counts = doneTasksOfStep.get(occurrence);
    return counts == null ? 0 : counts[step];
  }

  /** Returns the steps of which some tasks are done and others are not. */
  ImmutableList<StepOccurrence> stepsDoneInPart() {
    ImmutableList.Builder<StepOccurrence> steps = ImmutableList.builder();
    doneTasksOfStep.forEach(
        (occurrence, counts) -> {
          for (int step = 0; step < counts.length; step++) {
            if (counts[step] > 0 && counts[step] < spec.steps().get(step).tasks()) {
              steps.add(new StepOccurrence(occurrence, step));
            }
          }
        });
    return steps.build();
  }

  boolean allDone() {
    return doneTasks == blocks.size();
  }

  boolean hasOpen() {
    return openTasks > 0;
  }

  ImmutableList<WorkflowTask> open() {
    return hasOpen() ? open(0, blocks.size()) : ImmutableList.of();
  }

  ImmutableList<WorkflowTask> openOf(int occurrence, int step) {
    int first = firstPosition(occurrence, step);
    return open(first, first + spec.steps().get(step).tasks());
  }

  private ImmutableList<WorkflowTask> open(int first, int end) {
    ImmutableList.Builder<WorkflowTask> open = ImmutableList.builder();
    blocks.forEachKept(
        first,
        end,
        task -> {
          if (task.isOpen()) {
            open.add(task);
          }
        });
    return open.build();
  }

  /**
   * Returns the durable state of the tasks of the positions, up to the last one with an attempt.
   */
  ImmutableList<TaskRecordState> record(int first, int end) {
    int last = end;
    while (last > first && blocks.isNew(last - 1)) {
      last--;
    }
    ImmutableList.Builder<TaskRecordState> states = ImmutableList.builder();
    for (int position = first; position < last; position++) {
      states.add(blocks.isNew(position) ? TaskRecordState.NEW : get(position).record());
    }
    return states.build();
  }

  /** Returns the estimated memory of the tasks, in bytes. */
  long footprintBytes() {
    long perOccurrence = OCCURRENCE_BYTES + (long) Integer.BYTES * spec.steps().size();
    return blocks.footprintBytes() + doneTasksOfStep.size() * perOccurrence;
  }
}
