package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One workflow as its owner knows it: which task may start, what runs, what ended.
 *
 * <p>The owner writes {@link #record} durably before it acts on a change: an attempt before its
 * order leaves, an end before the worker may forget it, and it tells callers {@link #durableStatus}
 * only. So a new owner that restores the last record knows every order that may be on its way.
 *
 * <p>Confined to one thread. Rejects nulls. All operations take time in the number of tasks at
 * most.
 */
public final class Workflow {
  private final WorkflowSpec spec;
  private final List<WorkflowTask> tasks = new ArrayList<>();
  private final int tasksPerOccurrence;
  private final int[] firstTaskOfStep;
  private final int[] doneTasksOfStep;
  private WorkflowStatus status = WorkflowStatus.QUEUED;
  private WorkflowStatus durableStatus = WorkflowStatus.QUEUED;
  private long endedMillis;
  private boolean started;
  private long lastRanMillis;

  private Workflow(WorkflowSpec spec) {
    this.spec = spec;
    int stepCount = spec.steps().size();
    this.firstTaskOfStep = new int[stepCount];
    int first = 0;
    for (int step = 0; step < stepCount; step++) {
      firstTaskOfStep[step] = first;
      first += spec.steps().get(step).tasks();
    }
    this.tasksPerOccurrence = first;
    this.doneTasksOfStep = new int[stepCount * spec.schedule().occurrenceCount()];
    for (int round = 0; round < spec.schedule().occurrenceCount(); round++) {
      addOccurrence(round);
    }
  }

  /** Returns a workflow of which nothing was ordered yet. */
  public static Workflow of(WorkflowSpec spec) {
    return new Workflow(requireNonNull(spec, "spec"));
  }

  /** Returns the workflow as the durable record left it. */
  public static Workflow restore(WorkflowSpec spec, WorkflowRecordState state) {
    Workflow workflow = of(spec);
    int known = Math.min(state.tasks().size(), workflow.tasks.size());
    for (int i = 0; i < known; i++) {
      WorkflowTask task = workflow.tasks.get(i);
      task.restore(state.tasks().get(i));
      if (task.isDone()) {
        workflow.doneTasksOfStep[workflow.stepIndex(task.key())]++;
      }
    }
    workflow.status = state.status();
    workflow.durableStatus = state.status();
    workflow.endedMillis = state.endedMillis();
    workflow.stopBrokenGangs();
    workflow.started = state.status() != WorkflowStatus.QUEUED;
    return workflow;
  }

  private void addOccurrence(int round) {
    for (int step = 0; step < spec.steps().size(); step++) {
      StepSpec stepSpec = spec.steps().get(step);
      for (int index = 0; index < stepSpec.tasks(); index++) {
        tasks.add(new WorkflowTask(this, new TaskKey(spec.id(), round, step, index), stepSpec));
      }
    }
  }

  /** Returns what was handed in. */
  public WorkflowSpec spec() {
    return spec;
  }

  /** Returns the status as decided; callers are told {@link #durableStatus}. */
  public WorkflowStatus status() {
    return status;
  }

  /** Returns the status that is durable. */
  public WorkflowStatus durableStatus() {
    return durableStatus;
  }

  /** Takes the status of a record that became durable for the one to show. */
  public void setDurableStatus(WorkflowStatus durable) {
    durableStatus = requireNonNull(durable, "durable");
  }

  /** Returns the wall clock at the end, in milliseconds; 0 while it has not ended. */
  public long endedMillis() {
    return endedMillis;
  }

  /** Returns whether a worker has begun a task. */
  public boolean hasStarted() {
    return started;
  }

  void started() {
    started = true;
    if (status == WorkflowStatus.QUEUED) {
      status = WorkflowStatus.RUNNING;
    }
  }

  /** Returns all tasks in the order of occurrence, step and index. */
  public List<WorkflowTask> tasks() {
    return Collections.unmodifiableList(tasks);
  }

  /** Returns the task of the key, or empty if the workflow has none. */
  public Optional<WorkflowTask> task(TaskKey key) {
    if (key.workflow() != spec.id()
        || key.occurrence() >= spec.schedule().occurrenceCount()
        || key.step() >= spec.steps().size()
        || key.index() >= spec.steps().get(key.step()).tasks()) {
      return Optional.empty();
    }
    int position =
        key.occurrence() * tasksPerOccurrence + firstTaskOfStep[key.step()] + key.index();
    return Optional.of(tasks.get(position));
  }

  /** Returns the tasks of one step of one occurrence. */
  public List<WorkflowTask> tasksOf(int occurrence, int step) {
    int first = occurrence * tasksPerOccurrence + firstTaskOfStep[step];
    return tasks.subList(first, first + spec.steps().get(step).tasks());
  }

  /**
   * Calls the consumer for each task that may be ordered now, in order.
   *
   * @param wallMillis the time of day, by which occurrences fall due
   */
  public void forEachReady(long wallMillis, Consumer<WorkflowTask> consumer) {
    if (status.isTerminal()) {
      return;
    }
    for (int round = 0; round < spec.schedule().occurrenceCount(); round++) {
      if (spec.schedule().occurrences() > 0 && spec.schedule().dueMillis(round) > wallMillis) {
        return;
      }
      for (int step = 0; step < spec.steps().size(); step++) {
        if (dependenciesDone(round, step) && !stepDone(round, step)) {
          forEachReady(round, step, consumer);
        }
      }
    }
  }

  private void forEachReady(int round, int step, Consumer<WorkflowTask> consumer) {
    List<WorkflowTask> ofStep = tasksOf(round, step);
    // The members of a gang have one attempt: the next begins when all of the last have ended.
    boolean waits = isGang(step) && ofStep.stream().anyMatch(WorkflowTask::isOpen);
    if (!waits) {
      ofStep.stream().filter(task -> !task.isOpen() && !task.isDone()).forEach(consumer);
    }
  }

  private boolean isGang(int step) {
    return spec.steps().get(step).traits().gang();
  }

  private boolean dependenciesDone(int round, int step) {
    return spec.steps().get(step).dependsOn().stream()
        .allMatch(earlier -> stepDone(round, earlier));
  }

  private boolean stepDone(int round, int step) {
    return doneTasksOfStep[round * spec.steps().size() + step] == spec.steps().get(step).tasks();
  }

  private int stepIndex(TaskKey key) {
    return key.occurrence() * spec.steps().size() + key.step();
  }

  /**
   * Decides on the next attempt of a task.
   *
   * @throws IllegalStateException if one may still run, or the task is done
   */
  public RunKey startAttempt(WorkflowTask task, Place place) {
    checkArgument(task.workflow() == this, "%s is a task of another workflow", task.key());
    checkArgument(!task.step().traits().gang(), "%s is ordered with its gang only", task.key());
    task.startAttempt(place, task.lastAttempt() + 1, task.failures());
    return task.openRun();
  }

  /**
   * Decides on the next attempt of all members of a gang, which has one number for all of them.
   *
   * @param member any member
   * @param places one for each member, in their order
   * @throws IllegalStateException if a member may still run, or is done
   */
  public void startGangAttempt(WorkflowTask member, List<Place> places) {
    List<WorkflowTask> members = gangMembers(member);
    checkArgument(places.size() == members.size(), "%s places for a gang", places.size());
    int attempt = members.stream().mapToInt(WorkflowTask::lastAttempt).max().orElse(0) + 1;
    // An attempt that failed has failed once for the gang, however many members say so.
    int failures = members.stream().mapToInt(WorkflowTask::failures).max().orElse(0);
    for (int i = 0; i < members.size(); i++) {
      members.get(i).startAttempt(places.get(i), attempt, failures);
    }
  }

  /** Returns all tasks that work only together with the given one, itself among them. */
  public List<WorkflowTask> gangMembers(WorkflowTask member) {
    checkArgument(member.step().traits().gang(), "%s has no gang", member.key());
    return tasksOf(member.key().occurrence(), member.key().step());
  }

  /** Progress that one member saved is that of the gang, and all have to resume from the same. */
  void shareCheckpoint(WorkflowTask member) {
    gangMembers(member).forEach(each -> each.resumeFrom(member.checkpoint()));
  }

  /**
   * Has what is left of broken gangs stopped, which a former owner may not have done.
   *
   * <p>Members that wait for one that has ended hold their room for nothing until they give up.
   */
  private void stopBrokenGangs() {
    for (WorkflowTask task : tasks) {
      if (!task.isOpen() && !task.isDone() && task.step().traits().gang()) {
        gangMembers(task).stream().filter(WorkflowTask::isOpen).forEach(WorkflowTask::requestStop);
      }
    }
  }

  /**
   * Takes the end of a run.
   *
   * @return whether this changed anything; ends of other attempts than the open one do not
   */
  public boolean recordEnd(RunKey run, RunOutcome outcome, String checkpoint, long wallMillis) {
    Optional<WorkflowTask> found = task(run.task());
    if (found.isEmpty() || !found.get().isOpen() || found.get().lastAttempt() != run.attempt()) {
      return false;
    }
    WorkflowTask task = found.get();
    task.endAttempt(outcome, checkpoint);
    lastRanMillis = outcome.mayHaveRun() ? Math.max(lastRanMillis, wallMillis) : lastRanMillis;
    if (outcome.mayHaveRun() && outcome != RunOutcome.LOST) {
      started();
    }
    if (task.isDone()) {
      doneTasksOfStep[stepIndex(task.key())]++;
    }
    if (task.step().traits().gang()) {
      recordGangMemberEnd(task);
    }
    if (!status.isTerminal()) {
      updateStatus(task, wallMillis);
    }
    return true;
  }

  /**
   * Members end as done together; any other end of one is the end of the attempt.
   *
   * <p>Guards against a gang that is done in part, of which no attempt is ever ordered: the last
   * report of a member's worker may be lost, so that its run counts as lost before another member
   * tells that all were done. No later attempt is open then, since that waits for all ends.
   */
  private void recordGangMemberEnd(WorkflowTask task) {
    shareCheckpoint(task);
    for (WorkflowTask other : gangMembers(task)) {
      if (task.isDone() && !other.isDone()) {
        other.completeWithGang();
        doneTasksOfStep[stepIndex(other.key())]++;
      } else if (other.isOpen()) {
        other.requestStop();
      }
    }
  }

  private void updateStatus(WorkflowTask task, long wallMillis) {
    if (task.failures() >= spec.policy().maxFailures()) {
      end(WorkflowStatus.FAILED, wallMillis);
    } else if (task.isDone() && tasks.stream().allMatch(WorkflowTask::isDone)) {
      end(WorkflowStatus.DONE, wallMillis);
    }
  }

  /** Cancels the workflow; returns whether this changed anything. */
  public boolean cancel(long wallMillis) {
    if (status.isTerminal()) {
      return false;
    }
    end(WorkflowStatus.CANCELLED, wallMillis);
    return true;
  }

  private void end(WorkflowStatus terminal, long wallMillis) {
    status = terminal;
    endedMillis = wallMillis;
  }

  /**
   * Returns the declared run time of the longest chain of steps, in milliseconds.
   *
   * @param remaining whether to leave out steps that are done, of the first occurrence
   */
  public long criticalPathMillis(boolean remaining) {
    int steps = spec.steps().size();
    long[] upTo = new long[steps];
    long longest = 0;
    for (int step = 0; step < steps; step++) {
      long before = 0;
      for (int earlier : spec.steps().get(step).dependsOn()) {
        before = Math.max(before, upTo[earlier]);
      }
      boolean over = remaining && stepDone(0, step);
      upTo[step] = before + (over ? 0 : spec.steps().get(step).estimateMillis());
      longest = Math.max(longest, upTo[step]);
    }
    return longest;
  }

  /**
   * Returns for how long nothing of it has been ordered that may run, in milliseconds.
   *
   * @param wallMillis the time of day
   */
  public long idleMillis(long wallMillis) {
    return hasOpenTasks() ? 0 : wallMillis - Math.max(lastRanMillis, spec.acceptedMillis());
  }

  /**
   * Returns the part of the declared work that is not done, of the first occurrence, from 0 to 1.
   *
   * <p>Work is run time times processors; what runs counts as not done.
   */
  public double remainingWork() {
    double all = 0;
    double left = 0;
    for (int step = 0; step < spec.steps().size(); step++) {
      StepSpec each = spec.steps().get(step);
      double ofTask =
          (double) Math.max(1, each.estimateMillis()) * Math.max(1, each.sizes().milliProcessors());
      all += ofTask * each.tasks();
      left += ofTask * (each.tasks() - doneTasksOfStep[step]);
    }
    return left / all;
  }

  /** Returns whether the last attempt of any task may still run. */
  public boolean hasOpenTasks() {
    return tasks.stream().anyMatch(WorkflowTask::isOpen);
  }

  /** Returns the tasks whose last attempt may still run. */
  public List<WorkflowTask> openTasks() {
    return tasks.stream().filter(WorkflowTask::isOpen).toList();
  }

  /** Returns what must be durable of this workflow now. */
  public WorkflowRecordState record() {
    int last = tasks.size();
    while (last > 0 && tasks.get(last - 1).isNew()) {
      last--;
    }
    ImmutableList<TaskRecordState> states =
        tasks.subList(0, last).stream()
            .map(WorkflowTask::record)
            .collect(ImmutableList.toImmutableList());
    return new WorkflowRecordState(status, states, endedMillis);
  }
}
