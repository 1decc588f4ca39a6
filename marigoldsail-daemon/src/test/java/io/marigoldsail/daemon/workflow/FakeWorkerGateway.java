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

  /** Returns the tickets of all starts that were carried out; empty texts for none. */
  synchronized List<String> tickets() {
    return List.copyOf(tickets);
  }

  /** Returns for how long what runs may go on, in milliseconds. */
  synchronized long leaseLeftMillis() {
    return deadline - clock();
  }

  /** Ends everything at once; the worker is back as another life. */
  synchronized void crash(String newLife) {
    running.keySet().forEach(history::ended);
    running.clear();
    ended.clear();
    over.clear();
    sequence = 0;
    life = newLife;
  }

  /** Answers nothing from now on; what runs ends with the lease, as it does on a worker cut off. */
  synchronized void fallSilent() {
    silent = true;
    timer.scheduleAtFixedRate(this::lapse, 0, 5, TimeUnit.MILLISECONDS);
  }

  synchronized boolean isSilent() {
    return silent;
  }

  /** Leaves the next starts unanswered and carries them out later. */
  synchronized void answerLate(int starts, long millis) {
    startsToLose = starts;
    lateMillis = millis;
  }

  /** Leaves the next starts unanswered and never carries them out. */
  synchronized void dropStarts(int starts) {
    startsToDrop = starts;
  }

  /** Returns all starts that it was asked for, in order, also those that it did not answer. */
  synchronized List<RunKey> askedToStart() {
    return List.copyOf(askedToStart);
  }

  /** Says from now on that it leaves, and goes on with what it runs. */
  synchronized void leave() {
    leaving = true;
  }

  synchronized boolean isLeaving() {
    return leaving;
  }

  /** Has all runs end so once they have worked for their time. */
  synchronized void endAllAs(RunOutcome outcome) {
    ending = outcome;
  }

  /** Lists the figure with all that runs: a tail in milliseconds, or processors in use. */
  synchronized void measure(long figure) {
    gauge = figure;
  }

  /** Returns how many listings it was asked for and answers. */
  synchronized int listings() {
    return listings;
  }

  /** Returns what is at work. */
  synchronized List<RunKey> atWork() {
    return List.copyOf(running.keySet());
  }

  /** Returns the ends that nobody has noted. */
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
      return soon(new OrderUnknown("told to drop it"));
    }
    if (startsToLose > 0) {
      startsToLose--;
      late++;
      timer.schedule(() -> carryOutLate(worker, start), lateMillis, TimeUnit.MILLISECONDS);
      return soon(new OrderUnknown("told to leave it unanswered"));
    }
    return soon(carryOut(worker, start));
  }

  private synchronized void carryOutLate(String worker, Start start) {
    late--;
    carryOut(worker, start);
  }

  /** Returns whether every start that it left unanswered was carried out by now. */
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

  /** Ends the run when it has worked for its time; one that is slowed to nothing gets no nearer. */
  private void workOn(String of, RunKey run) {
    timer.schedule(() -> worked(of, run), runMillis, TimeUnit.MILLISECONDS);
  }

  private synchronized void worked(String of, RunKey run) {
    if (speeds.getOrDefault(run, 100) == 0) {
      workOn(of, run);
    } else {
      finish(of, run, ending);
    }
  }

  private synchronized void finish(String of, RunKey run, RunOutcome outcome) {
    if (life.equals(of) && running.remove(run) != null) {
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
      String worker, OptionalLong until, long noted, long waitMillis) {
    synchronized (this) {
      if (silent) {
        return soon(new NoListing("silent"));
      }
      if (!worker.equals(life)) {
        return soon(new OtherWorker());
      }
      listings++;
      until.ifPresent(wanted -> deadline = Math.max(deadline, wanted));
      note(noted);
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
