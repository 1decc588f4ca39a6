package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.WorkflowTasks.StepOccurrence;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * State machine of one workflow at its owner: which tasks may start, which run and which ended.
 *
 * <p>The owner makes {@link #record} durable before it acts on a change: an attempt before its
 * start order is sent, an end before the worker may drop it. Callers see {@link #durableStatus}
 * only. So a new owner that restores the last record knows every start order that may be in flight.
 *
 * <p>Confined to one thread. Rejects nulls. Every operation takes time at most linear in the number
 * of tasks that are due. An occurrence that is not due takes no memory.
 */
public final class Workflow {
  /** The number of tasks of one step without an attempt that one look passes on. */
  public static final int MAX_NEW_READY = 256;

  /** The number of tasks whose states are recorded together. */
  public static final int TASKS_PER_PART = TaskBlocks.BLOCK_TASKS;

  private final WorkflowSpec spec;
  private final WorkflowTasks tasks;
  private WorkflowStatus status = WorkflowStatus.QUEUED;
  private WorkflowStatus durableStatus = WorkflowStatus.QUEUED;
  private long endedMillis;
  private boolean started;
  private long lastRanMillis;
  private WorkflowSpec.QueuePolicy placementPolicy;

  private Workflow(WorkflowSpec spec) {
    this.spec = spec;
    this.placementPolicy = spec.policy();
    this.tasks = new WorkflowTasks(this, spec);
  }

  /** Returns a workflow without attempts. */
  public static Workflow of(WorkflowSpec spec) {
    return new Workflow(requireNonNull(spec, "spec"));
  }

  /** Returns a workflow restored from its durable record. */
  public static Workflow restore(WorkflowSpec spec, WorkflowRecordState state) {
    Workflow workflow = of(spec);
    int known = Math.min(state.tasks().size(), workflow.tasks.blocks().size());
    for (int i = 0; i < known; i++) {
      workflow.tasks.restore(i, state.tasks().get(i));
    }
    workflow.status = state.status();
    workflow.durableStatus = state.status();
    workflow.endedMillis = state.endedMillis();
    if (!state.service().isEmpty()) {
      workflow.placementPolicy = spec.policy().withService(state.service());
    }
    workflow.stopBrokenGangs();
    workflow.started = state.status() != WorkflowStatus.QUEUED;
    return workflow;
  }

  /** Returns the workflow as submitted. */
  public WorkflowSpec spec() {
    return spec;
  }

  /**
   * Lets further attempts start where the workflow's queue sends its tasks by the configuration;
   * leaves them where they are if the configuration does not contain the queue any more.
   *
   * <p>Attempts that run go on. Priority, failure limit and objective remain those at acceptance.
   *
   * @return whether the service changed
   */
  public boolean follow(QueueTable configuration) {
    String before = service();
    configuration
        .queue(spec.queue())
        .map(Queue::policy)
        .ifPresent(policy -> placementPolicy = policy);
    return !service().equals(before);
  }

  /** Returns the service whose workers run further attempts. */
  public String service() {
    return placementPolicy.service();
  }

  /** Returns the timing of the placement adviser for further attempts; empty if they need none. */
  public Optional<AdviserTiming> advice() {
    return placementPolicy.advice();
  }

  /** Returns the current status, durable or not; callers see {@link #durableStatus}. */
  public WorkflowStatus status() {
    return status;
  }

  /** Returns the durable status. */
  public WorkflowStatus durableStatus() {
    return durableStatus;
  }

  /** Sets the durable status once a record with it has become durable. */
  public void setDurableStatus(WorkflowStatus durable) {
    durableStatus = requireNonNull(durable, "durable");
  }

  /** Returns the wall clock at the end, in milliseconds; 0 until then. */
  public long endedMillis() {
    return endedMillis;
  }

  /** Returns whether a worker has started a task. */
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
    return tasks.all();
  }

  /** Returns the task with the key, or empty if the workflow has none. */
  public Optional<WorkflowTask> task(TaskKey key) {
    return tasks.contains(key) ? Optional.of(tasks.get(key)) : Optional.empty();
  }

  /** Returns the tasks of one step of one occurrence. */
  public List<WorkflowTask> tasksOf(int occurrence, int step) {
    return tasks.of(occurrence, step);
  }

  /**
   * Passes tasks that may start now to the consumer, in order: all that had an attempt, and the
   * first of the others.
   *
   * @param wallMillis wall clock in milliseconds, which decides which occurrences are due
   * @param consumer receives the tasks
   * @return whether further tasks may start now
   */
  public boolean forEachReady(long wallMillis, Consumer<WorkflowTask> consumer) {
    return forEachReady(wallMillis, MAX_NEW_READY, consumer);
  }

  /**
   * Passes ready tasks to the consumer as {@link #forEachReady(long, Consumer)} does, with another
   * limit.
   *
   * @param maxNew maximum number of tasks of one step without an attempt; positive
   */
  public boolean forEachReady(long wallMillis, int maxNew, Consumer<WorkflowTask> consumer) {
    checkArgument(maxNew > 0, "maxNew is not positive: %s", maxNew);
    return !status.isTerminal()
        && new ReadyTasks(spec, tasks, maxNew, consumer).passAll(wallMillis);
  }

  /**
   * Starts the next attempt of a task that is not in a gang.
   *
   * @return the attempt, which the caller sends to the place
   * @throws IllegalStateException if an attempt may still run, or the task is done
   */
  public RunKey startAttempt(WorkflowTask task, Place place) {
    checkArgument(task.workflow() == this, "task %s belongs to another workflow", task.key());
    checkArgument(
        !task.step().traits().gang(), "task %s is in a gang and starts only with it", task.key());
    task.startAttempt(place, task.lastAttempt() + 1, task.failures());
    return task.openRun();
  }

  /**
   * Starts the next attempt of all members of a gang, which share one attempt number.
   *
   * @param member any member
   * @param places one for each member, in their order
   * @throws IllegalStateException if an attempt of a member may still run, or a member is done
   */
  public void startGangAttempt(WorkflowTask member, List<Place> places) {
    List<WorkflowTask> members = new ArrayList<>(gangMembers(member));
    // Objects of members without an attempt are made on demand; the caller's is the one to keep.
    members.set(member.key().index(), member);
    checkArgument(
        places.size() == members.size(),
        "number of places differs from the number of gang members: %s",
        places.size());
    members.forEach(WorkflowTask::checkMayStart);
    int attempt = members.stream().mapToInt(WorkflowTask::lastAttempt).max().orElse(0) + 1;
    // A failed attempt counts once for the gang, however many members report the failure.
    int failures = members.stream().mapToInt(WorkflowTask::failures).max().orElse(0);
    for (int i = 0; i < members.size(); i++) {
      members.get(i).startAttempt(places.get(i), attempt, failures);
    }
  }

  /** Returns all members of the task's gang, itself included. */
  public List<WorkflowTask> gangMembers(WorkflowTask member) {
    checkArgument(member.step().traits().gang(), "task %s is not in a gang", member.key());
    return tasksOf(member.key().occurrence(), member.key().step());
  }

  /**
   * Copies the checkpoint of a member to the whole gang, whose members must resume from the same.
   */
  void shareCheckpoint(WorkflowTask member) {
    gangMembers(member).forEach(each -> each.resumeFrom(member.checkpoint()));
  }

  /**
   * Requests the stop of the remaining runs of broken gangs, in case a former owner did not.
   *
   * <p>Members that wait for one that has ended hold their resources in vain until they give up.
   */
  private void stopBrokenGangs() {
    Set<WorkflowTask> seen = new HashSet<>();
    for (WorkflowTask task : tasks.open()) {
      if (task.step().traits().gang() && !seen.contains(task)) {
        List<WorkflowTask> members = gangMembers(task);
        seen.addAll(members);
        if (members.stream().anyMatch(each -> !each.isOpen() && !each.isDone())) {
          members.stream().filter(WorkflowTask::isOpen).forEach(WorkflowTask::requestStop);
        }
      }
    }
  }

  /**
   * Records the end of a run.
   *
   * @return whether this changed anything; ends of attempts other than the open one are ignored
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
    afterEnd(task, wallMillis);
    return true;
  }

  /**
   * Records that the last attempt of a task completed, though it was considered over before.
   *
   * @return whether this changed anything; an attempt that another one has followed is ignored
   */
  public boolean recordLateCompletion(RunKey run, String checkpoint, long wallMillis) {
    Optional<WorkflowTask> found =
        task(run.task())
            .filter(task -> !task.isOpen() && !task.isDone())
            .filter(task -> !task.step().traits().longRunning())
            .filter(task -> task.lastAttempt() == run.attempt());
    if (found.isEmpty()) {
      return false;
    }
    found.get().completeLate(checkpoint);
    lastRanMillis = Math.max(lastRanMillis, wallMillis);
    started();
    afterEnd(found.get(), wallMillis);
    return true;
  }

  private void afterEnd(WorkflowTask task, long wallMillis) {
    if (task.isDone()) {
      tasks.completed(task);
    }
    if (task.step().traits().gang()) {
      recordGangMemberEnd(task);
    }
    if (!status.isTerminal()) {
      updateStatus(task, wallMillis);
    }
  }

  /**
   * Completes the whole gang when a member completed; else requests the stop of the other members.
   *
   * <p>Guards against a gang that is done in part, for which no attempt can start. The last report
   * of a member's worker may be lost, so that its run counts as lost before another member reports
   * completion. No later attempt is open then, because it starts only after all runs have ended.
   */
  private void recordGangMemberEnd(WorkflowTask task) {
    shareCheckpoint(task);
    for (WorkflowTask other : gangMembers(task)) {
      if (task.isDone() && !other.isDone()) {
        other.completeWithGang();
        tasks.completed(other);
      } else if (other.isOpen()) {
        other.requestStop();
      }
    }
  }

  private void updateStatus(WorkflowTask task, long wallMillis) {
    if (task.failures() >= spec.policy().maxFailures()) {
      end(WorkflowStatus.FAILED, wallMillis);
    } else if (task.isDone() && tasks.allDone()) {
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
   * Returns the declared run time of the critical path, in milliseconds.
   *
   * @param remaining whether to leave out the steps of the first occurrence that are done
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
      boolean done = remaining && tasks.isStepDone(0, step);
      upTo[step] = before + (done ? 0 : spec.steps().get(step).estimateMillis());
      longest = Math.max(longest, upTo[step]);
    }
    return longest;
  }

  /**
   * Returns how long the workflow has had no open attempt, in milliseconds; 0 while it has one.
   *
   * @param wallMillis wall clock in milliseconds
   */
  public long idleMillis(long wallMillis) {
    return hasOpenTasks() ? 0 : wallMillis - Math.max(lastRanMillis, spec.acceptedMillis());
  }

  /**
   * Returns the fraction of the declared work of the first occurrence that is not done, from 0 to
   * 1.
   *
   * <p>Work is run time times processors; running tasks count as not done.
   */
  public double remainingWork() {
    double total = 0;
    double remainingWork = 0;
    for (int step = 0; step < spec.steps().size(); step++) {
      StepSpec each = spec.steps().get(step);
      double taskWork =
          (double) Math.max(1, each.estimateMillis()) * Math.max(1, each.sizes().milliProcessors());
      total += taskWork * each.tasks();
      remainingWork += taskWork * (each.tasks() - tasks.doneTasks(0, step));
    }
    return remainingWork / total;
  }

  /** Returns whether the last attempt of any task may still run. */
  public boolean hasOpenTasks() {
    return tasks.hasOpen();
  }

  /** Returns the tasks whose last attempt may still run. */
  public List<WorkflowTask> openTasks() {
    return tasks.open();
  }

  /** Returns the tasks of one step of one occurrence whose last attempt may still run. */
  public List<WorkflowTask> openTasksOf(int occurrence, int step) {
    return tasks.openOf(occurrence, step);
  }

  /** Returns the estimated memory that the workflow takes now, in bytes. */
  public long footprintBytes() {
    return spec.footprintBytes() + tasks.footprintBytes();
  }

  /** Returns the current state, which must be made durable. */
  public WorkflowRecordState record() {
    return record(0, tasks.blocks().size(), false);
  }

  /**
   * Returns the current state of one part of the tasks, with the status of the workflow. Parts are
   * independent of each other: whichever of them are durable, {@link #reconcile} finds what to do.
   */
  public WorkflowRecordState recordOfPart(int part) {
    boolean isPart = tasks.blocks().size() > TASKS_PER_PART;
    return record(part * TASKS_PER_PART, tasks.blocks().endOf(part), isPart);
  }

  private WorkflowRecordState record(int first, int end, boolean isPart) {
    String service = service().equals(spec.policy().service()) ? "" : service();
    return new WorkflowRecordState(status, tasks.record(first, end), endedMillis, service, isPart);
  }

  /** Returns the part that holds the state of a task of this workflow. */
  public int partOf(TaskKey key) {
    return TaskBlocks.blockOf(tasks.position(key));
  }

  /** Returns the parts whose tasks have changed since this was last called. */
  public BitSet takeChangedParts() {
    return tasks.blocks().takeChanged();
  }

  /** Returns the parts of which any task has or had an attempt. */
  public BitSet usedParts() {
    return tasks.blocks().used();
  }

  /**
   * Completes what a restored workflow lacks because its former owner made only some parts durable:
   * gangs that are done in part, and the end of a workflow whose tasks are all done.
   *
   * @param wallMillis wall clock in milliseconds
   * @return whether this changed anything, so that the state must be made durable
   */
  public boolean reconcile(long wallMillis) {
    if (status.isTerminal()) {
      return false;
    }
    boolean changed = false;
    for (StepOccurrence step : tasks.stepsDoneInPart()) {
      if (spec.steps().get(step.step()).traits().gang()) {
        for (WorkflowTask member : tasks.of(step.occurrence(), step.step())) {
          if (!member.isDone()) {
            member.completeWithGang();
            tasks.completed(member);
            changed = true;
          }
        }
      }
    }
    if (tasks.allDone()) {
      end(WorkflowStatus.DONE, wallMillis);
      changed = true;
    }
    return changed;
  }

  void changed(WorkflowTask task) {
    tasks.changed(task);
  }

  void attemptOpened(WorkflowTask task) {
    tasks.opened(task);
  }

  void attemptClosed(WorkflowTask task) {
    tasks.closed(task);
  }
}
