package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An in-memory worker that keeps the contract of the platform's worker: one lease on its own clock
 * for all runs, ends listed until they are acknowledged, no start of an attempt that is not higher
 * than one that ended or was stopped, and no call that was sent before it was taken over. It
 * accepts a lower attempt beside a higher one that is active. Tests can inject faults. Safe for any
 * thread.
 */
final class FakeWorkerGateway implements WorkerGateway {
  private static final int CLOCK_START = 100_000;

  private record Active(RunKey run, long began) {}

  private final ScheduledExecutorService timer;
  private final RunHistory history;
  private final long runMillis;
  private final long began = System.nanoTime();
  private final Map<RunKey, Active> running = new LinkedHashMap<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private final Map<TaskKey, Integer> endedAttempts = new HashMap<>();
  private final Map<RunKey, Integer> throttlePercents = new HashMap<>();
  private final List<String> tickets = new ArrayList<>();
  private final List<RunKey> startRequests = new ArrayList<>();
  private String incarnation;
  private long sequence;
  private long deadline;
  private int startsToDelay;
  private int startsToDrop;
  private long startDelayMillis;
  private int delayedStarts;
  private long fence;
  private boolean unresponsive;
  private boolean draining;
  private RunOutcome outcomeOfRuns = RunOutcome.DONE;
  private long measurement;
  private int listings;

  FakeWorkerGateway(
      String incarnation, ScheduledExecutorService timer, RunHistory history, long runMillis) {
    this.incarnation = incarnation;
    this.timer = timer;
    this.history = history;
    this.runMillis = runMillis;
  }

  synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the tickets of all executed starts; an empty string for a start without one. */
  synchronized List<String> tickets() {
    return List.copyOf(tickets);
  }

  /** Returns the remaining time of the lease, in milliseconds. */
  synchronized long remainingLeaseMillis() {
    return deadline - clock();
  }

  /** Ends all runs at once; the worker continues as a new incarnation. */
  synchronized void crash(String newIncarnation) {
    running.keySet().forEach(history::runEnded);
    running.clear();
    ended.clear();
    endedAttempts.clear();
    deadline = 0;
    sequence = 0;
    incarnation = newIncarnation;
  }

  /** Stops answering; the runs end with the lease, as on a disconnected worker. */
  synchronized void becomeUnresponsive() {
    unresponsive = true;
    timer.scheduleAtFixedRate(this::endIfLeaseExpired, 0, 5, TimeUnit.MILLISECONDS);
  }

  synchronized boolean isUnresponsive() {
    return unresponsive;
  }

  /** Leaves the next starts unanswered and executes them after the delay. */
  synchronized void delayStarts(int starts, long millis) {
    startsToDelay = starts;
    startDelayMillis = millis;
  }

  /** Leaves the next starts unanswered and never executes them. */
  synchronized void dropStarts(int starts) {
    startsToDrop = starts;
  }

  /** Returns all requested starts in order, including the unanswered ones. */
  synchronized List<RunKey> startRequests() {
    return List.copyOf(startRequests);
  }

  /** Announces from now on that it drains; active runs continue. */
  synchronized void drain() {
    draining = true;
  }

  synchronized boolean isDraining() {
    return draining;
  }

  /** Sets the outcome with which all runs end after their run time. */
  synchronized void outcomeOfRuns(RunOutcome outcome) {
    outcomeOfRuns = outcome;
  }

  /** Sets the measurement listed for all runs, see {@link WorkerGateway.ActiveRun}. */
  synchronized void measurement(long newMeasurement) {
    measurement = newMeasurement;
  }

  /** Returns the number of listing requests that it answered or will answer. */
  synchronized int listings() {
    return listings;
  }

  /** Returns the active runs. */
  synchronized List<RunKey> activeRuns() {
    return List.copyOf(running.keySet());
  }

  /** Returns the number of unacknowledged ends. */
  synchronized int unacknowledgedEnds() {
    return ended.size();
  }

  private long clock() {
    return CLOCK_START + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
  }

  private <T> CompletableFuture<T> completeSoon(T result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    timer.schedule(() -> future.complete(result), 1, TimeUnit.MILLISECONDS);
    return future;
  }

  @Override
  public synchronized CompletableFuture<OrderResult> start(String worker, StartOrder start) {
    startRequests.add(start.run());
    if (unresponsive) {
      return completeSoon(new OrderOutcomeUnknown("injected: no answer"));
    }
    if (startsToDrop > 0) {
      startsToDrop--;
      return completeSoon(new OrderOutcomeUnknown("injected: start dropped"));
    }
    if (startsToDelay > 0) {
      startsToDelay--;
      delayedStarts++;
      long sentUnder = fence;
      timer.schedule(
          () -> executeDelayed(worker, start, sentUnder), startDelayMillis, TimeUnit.MILLISECONDS);
      return completeSoon(new OrderOutcomeUnknown("injected: start delayed"));
    }
    return completeSoon(execute(worker, start));
  }

  private synchronized void executeDelayed(String worker, StartOrder start, long sentUnder) {
    delayedStarts--;
    if (sentUnder == fence) {
      execute(worker, start);
    }
  }

  /** Returns whether every delayed start has been executed. */
  synchronized boolean hasExecutedDelayedStarts() {
    return delayedStarts == 0;
  }

  private synchronized OrderResult execute(String worker, StartOrder start) {
    if (!worker.equals(incarnation)) {
      return new IncarnationMismatch();
    }
    endIfLeaseExpired();
    if (start.deadline() > clock()) {
      // Also of a start that is refused.
      deadline = Math.max(deadline, start.deadline());
    }
    if (running.containsKey(start.run())) {
      return new Accepted(clock());
    }
    if (start.run().attempt() <= endedAttempts.getOrDefault(start.run().task(), 0)) {
      return new Refused(Refusal.STALE_ATTEMPT, "old");
    }
    if (start.deadline() <= clock()) {
      return new Refused(Refusal.DEADLINE_PASSED, "late");
    }
    running.put(start.run(), new Active(start.run(), System.nanoTime()));
    history.runStarted(start.run());
    tickets.add(start.ticket());
    scheduleEnd(incarnation, start.run());
    return new Accepted(clock());
  }

  /** Ends the run after its run time; a run that is throttled to zero then starts over. */
  private void scheduleEnd(String startedOn, RunKey run) {
    timer.schedule(
        () -> endUnlessThrottledToZero(startedOn, run), runMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void endUnlessThrottledToZero(String startedOn, RunKey run) {
    if (throttlePercents.getOrDefault(run, 100) == 0) {
      scheduleEnd(startedOn, run);
    } else {
      finish(startedOn, run, outcomeOfRuns);
    }
  }

  /** Ends an active run now. */
  synchronized void end(RunKey run, RunOutcome outcome) {
    finish(incarnation, run, outcome);
  }

  private synchronized void finish(String startedOn, RunKey run, RunOutcome outcome) {
    if (incarnation.equals(startedOn) && running.remove(run) != null) {
      history.runEnded(run);
      if (outcome == RunOutcome.DONE) {
        history.done(run);
      }
      endedAttempts.merge(run.task(), run.attempt(), Math::max);
      ended.add(new EndedRun(++sequence, run, outcome, ""));
    }
  }

  @Override
  public synchronized CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    if (unresponsive) {
      return completeSoon(new OrderOutcomeUnknown("injected: no answer"));
    }
    if (!worker.equals(incarnation)) {
      return completeSoon(new IncarnationMismatch());
    }
    endedAttempts.merge(run.task(), run.attempt(), Math::max);
    finish(incarnation, run, RunOutcome.STOPPED);
    return completeSoon(new Accepted(clock()));
  }

  @Override
  public synchronized CompletableFuture<OrderResult> throttle(
      String worker, RunKey run, int percent) {
    throttlePercents.put(run, percent);
    return completeSoon(new Accepted(clock()));
  }

  @Override
  public synchronized CompletableFuture<ListingResult> takeOver(String worker) {
    if (!unresponsive && worker.equals(incarnation)) {
      fence++;
    }
    return list(worker, OptionalLong.empty(), 0, 0);
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong newDeadline, long acknowledged, long waitMillis) {
    synchronized (this) {
      if (unresponsive) {
        return completeSoon(new ListingFailed("injected: no answer"));
      }
      if (!worker.equals(incarnation)) {
        return completeSoon(new IncarnationMismatch());
      }
      listings++;
      endIfLeaseExpired();
      newDeadline.ifPresent(wanted -> deadline = Math.max(deadline, wanted));
      acknowledge(acknowledged);
    }
    CompletableFuture<ListingResult> future = new CompletableFuture<>();
    poll(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis), future);
    return future;
  }

  private void acknowledge(long sequenceUpTo) {
    for (EndedRun end : List.copyOf(ended)) {
      if (end.sequence() <= sequenceUpTo) {
        ended.remove(end);
        if (end.outcome() == RunOutcome.DONE) {
          history.acknowledged(end.run());
        }
      }
    }
  }

  private synchronized void endIfLeaseExpired() {
    if (clock() > deadline) {
      for (RunKey run : List.copyOf(running.keySet())) {
        finish(incarnation, run, RunOutcome.LAPSED);
      }
    }
  }

  private void poll(long respondBy, CompletableFuture<ListingResult> future) {
    synchronized (this) {
      if (!ended.isEmpty() || System.nanoTime() - respondBy >= 0) {
        ImmutableList.Builder<ActiveRun> rows = ImmutableList.builder();
        running.keySet().forEach(run -> rows.add(new ActiveRun(run, "", 10, measurement)));
        future.complete(new Listing(clock(), rows.build(), ImmutableList.copyOf(ended)));
        return;
      }
    }
    timer.schedule(() -> poll(respondBy, future), 2, TimeUnit.MILLISECONDS);
  }
}
