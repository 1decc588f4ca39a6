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
 * A worker in memory that keeps the contract of the platform's: a lease on its own clock for all
 * that runs, ends listed until they are noted, and no attempt that is not higher than one that
 * ended or was stopped. Fails as it is told. Safe for any thread.
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
  private boolean unresponsive;
  private boolean draining;
  private RunOutcome outcomeOfRuns = RunOutcome.DONE;
  private long measurement;
  private int listings;

  FakeWorkerGateway(
      String life, ScheduledExecutorService timer, RunHistory history, long runMillis) {
    this.incarnation = life;
    this.timer = timer;
    this.history = history;
    this.runMillis = runMillis;
  }

  synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the tickets of all starts that were carried out; empty texts for none. */
  synchronized List<String> tickets() {
    return List.copyOf(tickets);
  }

  /** Returns for how long what runs may go on, in milliseconds. */
  synchronized long remainingLeaseMillis() {
    return deadline - clock();
  }

  /** Ends everything at once; the worker is back as another life. */
  synchronized void crash(String newLife) {
    running.keySet().forEach(history::runEnded);
    running.clear();
    ended.clear();
    endedAttempts.clear();
    sequence = 0;
    incarnation = newLife;
  }

  /** Answers nothing from now on; what runs ends with the lease, as it does on a worker cut off. */
  synchronized void becomeUnresponsive() {
    unresponsive = true;
    timer.scheduleAtFixedRate(this::endIfLeaseExpired, 0, 5, TimeUnit.MILLISECONDS);
  }

  synchronized boolean isUnresponsive() {
    return unresponsive;
  }

  /** Leaves the next starts unanswered and carries them out later. */
  synchronized void delayStarts(int starts, long millis) {
    startsToDelay = starts;
    startDelayMillis = millis;
  }

  /** Leaves the next starts unanswered and never carries them out. */
  synchronized void dropStarts(int starts) {
    startsToDrop = starts;
  }

  /** Returns all starts that it was asked for, in order, also those that it did not answer. */
  synchronized List<RunKey> startRequests() {
    return List.copyOf(startRequests);
  }

  /** Says from now on that it leaves, and goes on with what it runs. */
  synchronized void drain() {
    draining = true;
  }

  synchronized boolean isDraining() {
    return draining;
  }

  /** Has all runs end so once they have worked for their time. */
  synchronized void outcomeOfRuns(RunOutcome outcome) {
    outcomeOfRuns = outcome;
  }

  /** Lists the figure with all that runs: a tail in milliseconds, or processors in use. */
  synchronized void measurement(long figure) {
    measurement = figure;
  }

  /** Returns how many listings it was asked for and answers. */
  synchronized int listings() {
    return listings;
  }

  /** Returns what is at work. */
  synchronized List<RunKey> activeRuns() {
    return List.copyOf(running.keySet());
  }

  /** Returns the ends that nobody has noted. */
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
      return completeSoon(new OrderOutcomeUnknown("silent"));
    }
    if (startsToDrop > 0) {
      startsToDrop--;
      return completeSoon(new OrderOutcomeUnknown("told to drop it"));
    }
    if (startsToDelay > 0) {
      startsToDelay--;
      delayedStarts++;
      timer.schedule(() -> executeDelayed(worker, start), startDelayMillis, TimeUnit.MILLISECONDS);
      return completeSoon(new OrderOutcomeUnknown("told to leave it unanswered"));
    }
    return completeSoon(execute(worker, start));
  }

  private synchronized void executeDelayed(String worker, StartOrder start) {
    delayedStarts--;
    execute(worker, start);
  }

  /** Returns whether every start that it left unanswered was carried out by now. */
  synchronized boolean hasExecutedDelayedStarts() {
    return delayedStarts == 0;
  }

  private synchronized OrderResult execute(String worker, StartOrder start) {
    if (!worker.equals(incarnation)) {
      return new IncarnationMismatch();
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
    deadline = Math.max(deadline, start.deadline());
    running.put(start.run(), new Active(start.run(), System.nanoTime()));
    history.runStarted(start.run());
    tickets.add(start.ticket());
    scheduleEnd(incarnation, start.run());
    return new Accepted(clock());
  }

  /** Ends the run when it has worked for its time; one that is slowed to nothing gets no nearer. */
  private void scheduleEnd(String of, RunKey run) {
    timer.schedule(() -> endUnlessThrottledToZero(of, run), runMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void endUnlessThrottledToZero(String of, RunKey run) {
    if (throttlePercents.getOrDefault(run, 100) == 0) {
      scheduleEnd(of, run);
    } else {
      finish(of, run, outcomeOfRuns);
    }
  }

  private synchronized void finish(String of, RunKey run, RunOutcome outcome) {
    if (incarnation.equals(of) && running.remove(run) != null) {
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
      return completeSoon(new OrderOutcomeUnknown("silent"));
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
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong until, long noted, long waitMillis) {
    synchronized (this) {
      if (unresponsive) {
        return completeSoon(new ListingFailed("silent"));
      }
      if (!worker.equals(incarnation)) {
        return completeSoon(new IncarnationMismatch());
      }
      listings++;
      until.ifPresent(wanted -> deadline = Math.max(deadline, wanted));
      acknowledge(noted);
      endIfLeaseExpired();
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

  private void poll(long until, CompletableFuture<ListingResult> future) {
    synchronized (this) {
      if (!ended.isEmpty() || System.nanoTime() - until >= 0) {
        ImmutableList.Builder<ActiveRun> rows = ImmutableList.builder();
        running.keySet().forEach(run -> rows.add(new ActiveRun(run, "", 10, measurement)));
        future.complete(new Listing(clock(), rows.build(), ImmutableList.copyOf(ended)));
        return;
      }
    }
    timer.schedule(() -> poll(until, future), 2, TimeUnit.MILLISECONDS);
  }
}
