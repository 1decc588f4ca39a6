package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.TaskRecordState;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** A task and its open attempt, as its owner knows them. Mutable, one thread. */
final class SimulatedTask {
  private final TaskKey key;
  private final Set<Integer> endedWithoutReport = new HashSet<>();
  private boolean done;
  private int lastAttempt;
  private int failures;
  private Optional<Place> place;
  private boolean durable;
  private boolean mayHaveBeenOrdered;
  private boolean stopRequested;
  private Object orderSession;
  private long orderFrame;
  private long stopSentAt = Long.MIN_VALUE;
  private long notBefore;

  /** Restores a task; an open attempt may have been ordered by a former owner. */
  SimulatedTask(TaskKey key, TaskRecordState state) {
    this.key = key;
    done = state.done();
    lastAttempt = state.lastAttempt();
    failures = state.failures();
    place = state.place();
    durable = true;
    mayHaveBeenOrdered = true;
  }

  TaskKey key() {
    return key;
  }

  TaskRecordState state() {
    return new TaskRecordState(done, lastAttempt, failures, place, "");
  }

  boolean isOpen() {
    return place.isPresent();
  }

  boolean isWaiting(long now) {
    return !done && place.isEmpty() && notBefore <= now;
  }

  Place place() {
    return place.orElseThrow();
  }

  RunKey openRun() {
    return new RunKey(key, lastAttempt);
  }

  int lastAttempt() {
    return lastAttempt;
  }

  /** Decides on the next attempt, which is not durable yet. */
  void startAttempt(Place newPlace) {
    lastAttempt++;
    place = Optional.of(newPlace);
    durable = false;
    mayHaveBeenOrdered = false;
    stopRequested = false;
    orderSession = null;
    stopSentAt = Long.MIN_VALUE;
  }

  void endAttempt(RunOutcome outcome, long retryAt) {
    place = Optional.empty();
    done |= outcome.completes();
    failures += outcome.countsAsFailure() ? 1 : 0;
    if (!outcome.limitsAttempts()) {
      endedWithoutReport.add(lastAttempt);
    }
    notBefore = outcome == RunOutcome.REFUSED ? retryAt : 0;
  }

  /** Completes the task if no attempt followed the run; returns whether it did. */
  boolean completeLate(RunKey run) {
    if (done || place.isPresent() || run.attempt() != lastAttempt) {
      return false;
    }
    done = true;
    return true;
  }

  boolean hasEnded(int attempt) {
    return attempt < lastAttempt || (attempt == lastAttempt && place.isEmpty());
  }

  /** Returns whether another outcome than the reported one was recorded. */
  boolean isSuperseded(int attempt, RunOutcome reported) {
    if (!hasEnded(attempt)) {
      return false;
    }
    return reported.completes()
        ? !done || attempt != lastAttempt
        : reported.countsAsFailure() && endedWithoutReport.contains(attempt);
  }

  boolean isDurable() {
    return durable;
  }

  void markDurable() {
    durable = true;
  }

  boolean mayHaveBeenOrdered() {
    return mayHaveBeenOrdered;
  }

  void orderSent(Object session, long frame) {
    mayHaveBeenOrdered = true;
    orderSession = session;
    orderFrame = frame;
  }

  boolean isOrderHandled(Object session, long ordersSeen) {
    return orderSession != session || orderFrame <= ordersSeen;
  }

  void requestStop() {
    stopRequested = true;
  }

  boolean isStopRequested() {
    return stopRequested;
  }

  boolean tryMarkStopSent(long now, long intervalMillis) {
    if (stopSentAt != Long.MIN_VALUE && now - stopSentAt < intervalMillis) {
      return false;
    }
    stopSentAt = now;
    return true;
  }
}
