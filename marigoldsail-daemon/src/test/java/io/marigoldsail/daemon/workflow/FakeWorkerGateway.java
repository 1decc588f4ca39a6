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
 * for all runs, ends listed until they are acknowledged, and no start of an attempt that is not
 * higher than one that ended or was stopped. Tests can inject faults. Safe for any thread.
 */
final class FakeWorkerGateway implements WorkerGateway {
  private static final int CLOCK_START = 100_000;

  private record Active(RunKey run, long began) {}

  private final ScheduledExecutorService timer;
  private final RunHistory history;
  private final long runMillis;
  private final long began = System.nanoTime();
  private final Map<RunKey, Active> running = new LinkedHashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<TaskKey, Integer> over = new HashMap<>();
  private final Map<RunKey, Integer> speeds = new HashMap<>();
  private final List<String> tickets = new ArrayList<>();
  private final List<RunKey> askedToStart = new ArrayList<>();
  private String life;
  private long sequence;
  private long deadline;
  private int startsToLose;
  private int startsToDrop;
  private long lateMillis;
  private int late;
  private boolean silent;
  private boolean leaving;
  private RunOutcome ending = RunOutcome.DONE;
  private long gauge;
  private int listings;

  FakeWorkerGateway(
      String life, ScheduledExecutorService timer, RunHistory history, long runMillis) {
    this.life = life;
    this.timer = timer;
    this.history = history;
    this.runMillis = runMillis;
  }

  synchronized String life() {
    return life;
  }

  /** Returns the tickets of all executed starts; an empty string for a start without one. */
  synchronized List<String> tickets() {
    return List.copyOf(tickets);
  }

  /** Returns the remaining time of the lease, in milliseconds. */
  synchronized long leaseLeftMillis() {
    return deadline - clock();
  }

  /** Ends all runs at once; the worker continues as a new incarnation. */
  synchronized void crash(String newIncarnation) {
    running.keySet().forEach(history::ended);
    running.clear();
    ended.clear();
    over.clear();
    sequence = 0;
    life = newIncarnation;
  }

  /** Stops answering; the runs end with the lease, as on a disconnected worker. */
  synchronized void fallSilent() {
    silent = true;
    timer.scheduleAtFixedRate(this::lapse, 0, 5, TimeUnit.MILLISECONDS);
  }

  synchronized boolean isSilent() {
    return silent;
  }

  /** Leaves the next starts unanswered and executes them after the delay. */
  synchronized void answerLate(int starts, long millis) {
    startsToLose = starts;
    lateMillis = millis;
  }

  /** Leaves the next starts unanswered and never executes them. */
  synchronized void dropStarts(int starts) {
    startsToDrop = starts;
  }

  /** Returns all requested starts in order, including the unanswered ones. */
  synchronized List<RunKey> askedToStart() {
    return List.copyOf(askedToStart);
  }

  /** Announces from now on that it drains; active runs continue. */
  synchronized void leave() {
    leaving = true;
  }

  synchronized boolean isLeaving() {
    return leaving;
  }

  /** Sets the outcome with which all runs end after their run time. */
  synchronized void endAllAs(RunOutcome outcome) {
    ending = outcome;
  }

  /** Sets the measurement listed for all runs, see {@link WorkerGateway.Running}. */
  synchronized void measure(long newMeasurement) {
    gauge = newMeasurement;
  }

  /** Returns the number of listing requests that it answered or will answer. */
  synchronized int listings() {
    return listings;
  }

  /** Returns the active runs. */
  synchronized List<RunKey> atWork() {
    return List.copyOf(running.keySet());
  }

  /** Returns the number of unacknowledged ends. */
  synchronized int endsNotNoted() {
    return ended.size();
  }

  private long clock() {
    return CLOCK_START + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
  }

  private <T> CompletableFuture<T> soon(T result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    timer.schedule(() -> future.complete(result), 1, TimeUnit.MILLISECONDS);
    return future;
  }

  @Override
  public synchronized CompletableFuture<OrderResult> start(String worker, Start start) {
    askedToStart.add(start.run());
    if (silent) {
      return soon(new OrderUnknown("silent"));
    }
    if (startsToDrop > 0) {
      startsToDrop--;
      return soon(new OrderUnknown("injected: start dropped"));
    }
    if (startsToLose > 0) {
      startsToLose--;
      late++;
      timer.schedule(() -> carryOutLate(worker, start), lateMillis, TimeUnit.MILLISECONDS);
      return soon(new OrderUnknown("injected: start delayed"));
    }
    return soon(carryOut(worker, start));
  }

  private synchronized void carryOutLate(String worker, Start start) {
    late--;
    carryOut(worker, start);
  }

  /** Returns whether every delayed start has been executed. */
  synchronized boolean isNothingLate() {
    return late == 0;
  }

  private synchronized OrderResult carryOut(String worker, Start start) {
    if (!worker.equals(life)) {
      return new OtherWorker();
    }
    if (running.containsKey(start.run())) {
      return new Accepted(clock());
    }
    if (start.run().attempt() <= over.getOrDefault(start.run().task(), 0)) {
      return new Refused(Refusal.OLD_ATTEMPT, "old");
    }
    if (start.deadline() <= clock()) {
      return new Refused(Refusal.LATE, "late");
    }
    deadline = Math.max(deadline, start.deadline());
    running.put(start.run(), new Active(start.run(), System.nanoTime()));
    history.began(start.run());
    tickets.add(start.ticket());
    workOn(life, start.run());
    return new Accepted(clock());
  }

  /** Ends the run after its run time; a run that is throttled to zero then starts over. */
  private void workOn(String startedOn, RunKey run) {
    timer.schedule(() -> worked(startedOn, run), runMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void worked(String startedOn, RunKey run) {
    if (speeds.getOrDefault(run, 100) == 0) {
      workOn(startedOn, run);
    } else {
      finish(startedOn, run, ending);
    }
  }

  private synchronized void finish(String startedOn, RunKey run, RunOutcome outcome) {
    if (life.equals(startedOn) && running.remove(run) != null) {
      history.ended(run);
      if (outcome == RunOutcome.DONE) {
        history.done(run);
      }
      over.merge(run.task(), run.attempt(), Math::max);
      ended.add(new Ended(++sequence, run, outcome, ""));
    }
  }

  @Override
  public synchronized CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    if (silent) {
      return soon(new OrderUnknown("silent"));
    }
    if (!worker.equals(life)) {
      return soon(new OtherWorker());
    }
    over.merge(run.task(), run.attempt(), Math::max);
    finish(life, run, RunOutcome.STOPPED);
    return soon(new Accepted(clock()));
  }

  @Override
  public synchronized CompletableFuture<OrderResult> pace(String worker, RunKey run, int percent) {
    speeds.put(run, percent);
    return soon(new Accepted(clock()));
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong newDeadline, long acknowledged, long waitMillis) {
    synchronized (this) {
      if (silent) {
        return soon(new NoListing("silent"));
      }
      if (!worker.equals(life)) {
        return soon(new OtherWorker());
      }
      listings++;
      newDeadline.ifPresent(wanted -> deadline = Math.max(deadline, wanted));
      note(acknowledged);
      lapse();
    }
    CompletableFuture<ListingResult> future = new CompletableFuture<>();
    poll(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis), future);
    return future;
  }

  private void note(long sequenceUpTo) {
    for (Ended end : List.copyOf(ended)) {
      if (end.sequence() <= sequenceUpTo) {
        ended.remove(end);
        if (end.outcome() == RunOutcome.DONE) {
          history.noted(end.run());
        }
      }
    }
  }

  private synchronized void lapse() {
    if (clock() > deadline) {
      for (RunKey run : List.copyOf(running.keySet())) {
        finish(life, run, RunOutcome.LAPSED);
      }
    }
  }

  private void poll(long until, CompletableFuture<ListingResult> future) {
    synchronized (this) {
      if (!ended.isEmpty() || System.nanoTime() - until >= 0) {
        ImmutableList.Builder<Running> rows = ImmutableList.builder();
        running.keySet().forEach(run -> rows.add(new Running(run, "", 10, gauge)));
        future.complete(new Listing(clock(), rows.build(), ImmutableList.copyOf(ended)));
        return;
      }
    }
    timer.schedule(() -> poll(until, future), 2, TimeUnit.MILLISECONDS);
  }
}
