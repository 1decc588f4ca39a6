package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * One task of a {@link Workflow}, as its owner knows it.
 *
 * <p>Changed only by its workflow, but for what workers report of a run. Confined to one thread.
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
  private final Set<String> failedOn = new HashSet<>();

  WorkflowTask(Workflow workflow, TaskKey key, StepSpec step) {
    this.workflow = workflow;
    this.key = key;
    this.step = step;
  }

  /** Returns the workflow that this belongs to. */
  public Workflow workflow() {
    return workflow;
  }

  /** Returns the task's name. */
  public TaskKey key() {
    return key;
  }

  /** Returns the step that this belongs to. */
  public StepSpec step() {
    return step;
  }

  /** Returns whether a run ended as done. */
  public boolean isDone() {
    return done;
  }

  /** Returns where the last attempt may still run, or empty if nothing may run. */
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
   * @throws IllegalStateException if none may
   */
  public RunKey openRun() {
    checkState(place != null, "%s has no open attempt", key);
    return new RunKey(key, lastAttempt);
  }

  /** Returns whether the attempt was ordered and cannot run any more. */
  public boolean hasEnded(int attempt) {
    return attempt < lastAttempt || (attempt == lastAttempt && place == null);
  }

  /** Returns the highest attempt ever ordered; 0 for none. */
  public int lastAttempt() {
    return lastAttempt;
  }

  /** Returns how many attempts failed. */
  public int failures() {
    return failures;
  }

  /** Returns the newest progress saved; empty for none. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns whether a worker has said that the open attempt runs. */
  public boolean isStarted() {
    return started;
  }

  /** Returns how far the open attempt is, 0 to 100; 100 for a lasting one at work. */
  public int percent() {
    return percent;
  }

  /** Returns whether the owner wants the open attempt to end, to run it elsewhere. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Asks that the open attempt be stopped; it is ordered anew once it has ended. */
  public void requestStop() {
    stopRequested = true;
  }

  /** Returns the time before which no attempt is to be ordered, in the owner's nanoseconds. */
  public long notBefore() {
    return notBefore;
  }

  /** Sets the time before which no attempt is to be ordered, in the owner's nanoseconds. */
  public void deferUntil(long nanos) {
    notBefore = nanos;
  }

  /** Returns how many attempts in a row were refused without having run. */
  public int refusals() {
    return refusals;
  }

  /** Returns whether an attempt failed on the VM, as far as this owner saw. */
  public boolean hasFailedOn(String vm) {
    return failedOn.contains(vm);
  }

  /** Takes what a worker says of the open attempt. */
  public void recordProgress(String newCheckpoint, int newPercent) {
    started = true;
    refusals = 0;
    percent = newPercent;
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      checkpoint = newCheckpoint;
      if (step.traits().gang()) {
        workflow.shareCheckpoint(this);
      }
    }
    workflow.started();
  }

  void resumeFrom(String saved) {
    checkpoint = saved;
  }

  void startAttempt(Place newPlace, int attempt, int failuresBefore) {
    checkState(place == null && !done, "%s cannot be ordered", key);
    place = requireNonNull(newPlace, "place");
    lastAttempt = attempt;
    failures = failuresBefore;
    started = false;
    stopRequested = false;
    percent = 0;
  }

  void endAttempt(RunOutcome outcome, String newCheckpoint) {
    if (outcome.countsAsFailure()) {
      failedOn.add(place.vm());
    }
    place = null;
    started = false;
    stopRequested = false;
    percent = 0;
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
    refusals = outcome == RunOutcome.REFUSED ? refusals + 1 : 0;
    if (step.traits().longRunning()) {
      return;
    }
    if (outcome.completes()) {
      done = true;
    }
    if (outcome.countsAsFailure()) {
      failures++;
    }
  }

  /** Takes the word of another member that the attempt of the gang did its work. */
  void completeWithGang() {
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

  TaskRecordState record() {
    return new TaskRecordState(done, lastAttempt, failures, place(), checkpoint);
  }

  boolean isNew() {
    return lastAttempt == 0;
  }
}
