package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One task of a {@link Workflow}, as its owner knows it.
 *
 * <p>Modified only by its workflow, except for the progress that workers report. Confined to one
 * thread.
 */
public final class WorkflowTask {
  private final Workflow workflow;
  private final TaskKey key;
  private final StepSpec step;
  private boolean done;
  private int lastAttempt;
  private int failures;
  private Place place;
  private String checkpoint = "";
  private boolean started;
  private int percent;
  private boolean stopRequested;
  private long notBefore = Long.MIN_VALUE;
  private int refusals;
  private int rejections;
  private Set<String> failedOn = Set.of();
  private Set<String> rejectedOn = Set.of();
  private Set<Integer> endedWithoutReport = Set.of();

  WorkflowTask(Workflow workflow, TaskKey key, StepSpec step) {
    this.workflow = workflow;
    this.key = key;
    this.step = step;
  }

  /** Returns the workflow of this task. */
  public Workflow workflow() {
    return workflow;
  }

  /** Returns the task's key. */
  public TaskKey key() {
    return key;
  }

  /** Returns the step of this task. */
  public StepSpec step() {
    return step;
  }

  /** Returns whether a run completed. */
  public boolean isDone() {
    return done;
  }

  /** Returns where the last attempt may still run, or empty if no attempt may run. */
  public Optional<Place> place() {
    return Optional.ofNullable(place);
  }

  /** Returns whether an attempt may still run. */
  public boolean isOpen() {
    return place != null;
  }

  /**
   * Returns the attempt that may still run.
   *
   * @throws IllegalStateException if there is none
   */
  public RunKey openRun() {
    checkState(place != null, "task %s has no open attempt", key);
    return new RunKey(key, lastAttempt);
  }

  /** Returns whether the attempt was started and can no longer run. */
  public boolean hasEnded(int attempt) {
    return attempt < lastAttempt || (attempt == lastAttempt && place == null);
  }

  /**
   * Returns whether the owner recorded another outcome for an ended attempt than its worker reports
   * later, so that the task may run more often than the reported outcome permits.
   *
   * <p>A restored task does not know of failures that its former owner has not recorded.
   */
  public boolean isSuperseded(int attempt, RunOutcome reported) {
    if (step.traits().longRunning() || !hasEnded(attempt)) {
      return false;
    }
    if (reported.completes()) {
      return !done || attempt != lastAttempt;
    }
    return reported.countsAsFailure() && endedWithoutReport.contains(attempt);
  }

  /** Returns the number of the last attempt; 0 for none. */
  public int lastAttempt() {
    return lastAttempt;
  }

  /** Returns the number of failed attempts. */
  public int failures() {
    return failures;
  }

  /** Returns the latest checkpoint; empty for none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns whether a worker has reported that the open attempt runs. */
  public boolean isStarted() {
    return started;
  }

  /** Returns the progress of the open attempt, 0 to 100; 100 for a long-running task that runs. */
  public int percent() {
    return percent;
  }

  /** Returns whether the owner has requested a stop of the open attempt, to run it elsewhere. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Requests a stop of the open attempt; the next one may start once it has ended. */
  public void requestStop() {
    stopRequested = true;
  }

  /** Returns the earliest start of the next attempt, in the owner's nanoseconds. */
  public long notBefore() {
    return notBefore;
  }

  /** Sets the earliest start of the next attempt, in the owner's nanoseconds. */
  public void deferUntil(long nanos) {
    notBefore = nanos;
  }

  /** Returns how many consecutive attempts were refused without having run. */
  public int refusals() {
    return refusals;
  }

  /**
   * Returns how many attempts workers have rejected as malformed since one was accepted, as far as
   * this owner knows.
   */
  public int rejections() {
    return rejections;
  }

  /** Returns whether the worker of the VM has rejected an attempt that others may accept. */
  public boolean wasRejectedOn(String vm) {
    return rejectedOn.contains(vm);
  }

  /** Returns whether an attempt failed on the VM, as far as this owner knows. */
  public boolean hasFailedOn(String vm) {
    return failedOn.contains(vm);
  }

  /**
   * Records what a worker reported of the open attempt.
   *
   * @param newCheckpoint the latest checkpoint; empty for none
   * @param newPercent the progress, 0 to 100
   */
  public void recordProgress(String newCheckpoint, int newPercent) {
    started = true;
    refusals = 0;
    forgetRejections();
    percent = newPercent;
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      workflow.changed(this);
      checkpoint = newCheckpoint;
      if (step.traits().gang()) {
        workflow.shareCheckpoint(this);
      }
    }
    workflow.started();
  }

  void resumeFrom(String saved) {
    if (!done && !saved.equals(checkpoint)) {
      workflow.changed(this);
      checkpoint = saved;
    }
  }

  /**
   * Checks that an attempt may start.
   *
   * @throws IllegalStateException if an attempt may still run, or the task is done
   */
  void checkMayStart() {
    checkState(place == null && !done, "task %s is done or has an open attempt", key);
  }

  void startAttempt(Place newPlace, int attempt, int failuresBefore) {
    checkMayStart();
    requireNonNull(newPlace, "place");
    workflow.attemptOpened(this);
    place = newPlace;
    lastAttempt = attempt;
    failures = failuresBefore;
    started = false;
    stopRequested = false;
    percent = 0;
  }

  void endAttempt(RunOutcome outcome, String newCheckpoint) {
    if (outcome.countsAsFailure()) {
      failedOn = mutable(failedOn);
      failedOn.add(place.vm());
    }
    if (outcome == RunOutcome.REJECTED) {
      recordRejection(place.vm());
    } else if (outcome.limitsAttempts()) {
      forgetRejections();
    }
    workflow.attemptClosed(this);
    place = null;
    started = false;
    stopRequested = false;
    percent = 0;
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
    refusals = outcome.isRefusal() ? refusals + 1 : 0;
    if (step.traits().longRunning()) {
      return;
    }
    if (outcome.completes()) {
      done = true;
    }
    if (outcome.countsAsFailure()) {
      failures++;
    }
    if (!outcome.limitsAttempts()) {
      endedWithoutReport = mutable(endedWithoutReport);
      endedWithoutReport.add(lastAttempt);
    }
  }

  private void recordRejection(String vm) {
    rejections++;
    // A second rejection by the same worker shows that no other one was left to try: all of them
    // get another turn.
    rejectedOn = rejectedOn.contains(vm) ? new HashSet<>(2) : mutable(rejectedOn);
    rejectedOn.add(vm);
  }

  private void forgetRejections() {
    rejections = 0;
    rejectedOn = Set.of();
  }

  /** Most tasks never need their sets, so these are created by the first addition. */
  private static <T> Set<T> mutable(Set<T> set) {
    return set.isEmpty() ? new HashSet<>(2) : set;
  }

  /** Completes the task although its last attempt was considered over. */
  void completeLate(String newCheckpoint) {
    checkState(place == null && !done, "task %s is done or has an open attempt", key);
    done = true;
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }

  /** Completes the task because another member reported that the gang's attempt completed. */
  void completeWithGang() {
    workflow.changed(this);
    if (isOpen()) {
      endAttempt(RunOutcome.DONE, "");
    }
    done = true;
  }

  void restore(TaskRecordState state) {
    done = state.done();
    lastAttempt = state.lastAttempt();
    failures = state.failures();
    place = state.place().orElse(null);
    checkpoint = state.checkpoint();
  }

  /** Restores a task that is done and of which nothing but its last attempt is kept. */
  void restoreDone(int attempt) {
    done = true;
    lastAttempt = attempt;
  }

  TaskRecordState record() {
    return done
        ? new TaskRecordState(true, lastAttempt, failures, Optional.empty(), "")
        : new TaskRecordState(false, lastAttempt, failures, place(), checkpoint);
  }

  /** Returns whether the last attempt is all that matters of a task that is done. */
  boolean isReplaceableByDone() {
    return done && lastAttempt > 0 && endedWithoutReport.isEmpty();
  }
}
