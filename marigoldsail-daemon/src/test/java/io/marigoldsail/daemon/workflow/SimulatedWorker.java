package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The worker of one VM, as strict as its contract: one deadline for all runs on its own clock,
 * which is up to two percent slow; a deadline never shortens; an attempt starts only if it is
 * higher than each one that ended or was stopped, also beside a higher one that runs; ends are
 * listed until they are acknowledged; a call with a lower fence than the highest one seen does
 * nothing; a new incarnation knows nothing. One thread.
 */
final class SimulatedWorker {
  /** The longest lease that it grants, in milliseconds of its clock. */
  static final long MAX_LEASE_MILLIS = 10_000;

  private static final int MAX_RUNS = 6;
  private static final int MAX_SLOW_PER_MILLE = 20;
  private static final int MAX_STOP_MILLIS = 300;
  private static final int FAILED_PERCENT = 12;

  private record Waiter(long until, Consumer<WorkerGateway.ListingResult> listener) {}

  /** An end; does not count as acknowledged later if the lease expired in between. */
  private record End(WorkerGateway.EndedRun listed, long lapses) {}

  private final String vm;
  private final WorkerRestart restart;
  private final SimulatedTime time;
  private final SplittableRandom random;
  private final RunOracle oracle;
  private final Set<RunKey> running = new LinkedHashSet<>();
  private final Map<TaskKey, Integer> over = new HashMap<>();
  private final List<End> ended = new ArrayList<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private int incarnation;
  private boolean up;
  private long bootedAt;
  private long firstClock;
  private long slowPerMille;
  private long deadline;
  private boolean lapsed;
  private long lapses;
  private long sequence;
  private long silentUntil;
  private long fence;

  /**
   * Creates a worker that is down.
   *
   * @param restart how it starts again after a crash
   */
  SimulatedWorker(
      String vm,
      WorkerRestart restart,
      SimulatedTime time,
      SplittableRandom random,
      RunOracle oracle) {
    this.vm = vm;
    this.restart = restart;
    this.time = time;
    this.random = random;
    this.oracle = oracle;
  }

  /** Begins a new incarnation. */
  void boot() {
    incarnation++;
    up = true;
    bootedAt = time.now();
    firstClock = random.nextLong(100_000);
    slowPerMille = random.nextInt(MAX_SLOW_PER_MILLE + 1);
    deadline = firstClock;
    lapsed = true;
    sequence = 0;
    fence = 0;
    oracle.note(() -> "WORKER " + name() + " begins");
  }

  /** Ends the incarnation and everything that runs on it. */
  void crash() {
    oracle.note(() -> "WORKER " + name() + " crashes");
    up = false;
    List.copyOf(running).forEach(run -> oracle.ended(run, name(), "crashed"));
    running.clear();
    over.clear();
    ended.clear();
    waiters.clear();
  }

  /** Leaves all calls unanswered for the time in milliseconds. */
  void becomeSilent(long millis) {
    oracle.note(() -> "WORKER " + name() + " is silent for " + millis);
    silentUntil = Math.max(silentUntil, time.now() + millis);
  }

  boolean isSilent() {
    return !up || time.now() < silentUntil;
  }

  boolean isUp() {
    return up;
  }

  String name() {
    return restart.nameOf(vm, incarnation, bootedAt);
  }

  /** Returns whether it executes a call that the incarnation received and left for later. */
  boolean executesCallsOf(String receiver) {
    return up && restart.executes(receiver, name());
  }

  /** Returns whether it executes calls for the incarnation; they name the id only. */
  private boolean isCalledBy(String worker) {
    return WorkerIncarnation.idOf(worker).equals(WorkerIncarnation.idOf(name()));
  }

  WorkerHeartbeat heartbeat() {
    return new WorkerHeartbeat(
        name(),
        "service",
        "zone",
        ImmutableList.of(),
        "",
        new Sizes(MAX_RUNS * 1_000L, 1L << 33, 0),
        false,
        time.now() + 1);
  }

  /** Returns its clock, in milliseconds; it tells it also in response to a refused call. */
  long clock() {
    return firstClock + (time.now() - bootedAt) * (1_000 - slowPerMille) / 1_000;
  }

  private boolean isFencedOff(long sentFence) {
    fence = Math.max(fence, sentFence);
    return sentFence < fence;
  }

  private void extend(long wanted) {
    long granted = Math.min(wanted, clock() + MAX_LEASE_MILLIS);
    if (granted > deadline) {
      deadline = granted;
      lapsed = false;
    }
  }

  WorkerGateway.OrderResult start(String worker, long sentFence, WorkerGateway.StartOrder start) {
    if (!isCalledBy(worker)) {
      return new WorkerGateway.IncarnationMismatch();
    }
    if (isFencedOff(sentFence)) {
      return new WorkerGateway.OrderOutcomeUnknown("fence");
    }
    endLapsed();
    RunKey run = start.run();
    if (running.contains(run)) {
      extend(start.deadline());
      return new WorkerGateway.Accepted(clock());
    }
    if (run.attempt() <= over.getOrDefault(run.task(), 0)) {
      extend(start.deadline());
      return new WorkerGateway.Refused(WorkerGateway.Refusal.STALE_ATTEMPT, "old");
    }
    if (start.deadline() <= clock()) {
      return new WorkerGateway.Refused(WorkerGateway.Refusal.DEADLINE_PASSED, "late");
    }
    extend(start.deadline());
    if (running.size() >= MAX_RUNS) {
      return new WorkerGateway.Refused(WorkerGateway.Refusal.INSUFFICIENT_CAPACITY, "room");
    }
    running.add(run);
    oracle.started(run, name());
    RunOutcome outcome = random.nextInt(100) < FAILED_PERCENT ? RunOutcome.FAILED : RunOutcome.DONE;
    String executing = name();
    time.after(workMillis(), () -> end(executing, run, outcome));
    return new WorkerGateway.Accepted(clock());
  }

  private long workMillis() {
    int kind = random.nextInt(100);
    if (kind < 55) {
      return random.nextLong(100, 1_500);
    }
    return kind < 85 ? random.nextLong(1_500, 6_000) : random.nextLong(6_000, 14_000);
  }

  WorkerGateway.OrderResult stop(String worker, long sentFence, RunKey run) {
    if (!isCalledBy(worker)) {
      return new WorkerGateway.IncarnationMismatch();
    }
    if (isFencedOff(sentFence)) {
      return new WorkerGateway.OrderOutcomeUnknown("fence");
    }
    endLapsed();
    over.merge(run.task(), run.attempt(), Math::max);
    oracle.note(run.task(), () -> "WORKER " + name() + " executes stop of " + run);
    if (running.contains(run)) {
      String executing = name();
      time.after(random.nextLong(MAX_STOP_MILLIS), () -> end(executing, run, RunOutcome.STOPPED));
    }
    return new WorkerGateway.Accepted(clock());
  }

  void list(
      String worker,
      long sentFence,
      OptionalLong newDeadline,
      long acknowledged,
      long waitMillis,
      Consumer<WorkerGateway.ListingResult> listener) {
    if (!isCalledBy(worker)) {
      listener.accept(new WorkerGateway.IncarnationMismatch());
      return;
    }
    if (isFencedOff(sentFence)) {
      listener.accept(new WorkerGateway.ListingFailed("fence"));
      return;
    }
    endLapsed();
    newDeadline.ifPresent(this::extend);
    for (End end : List.copyOf(ended)) {
      if (end.listed().sequence() <= acknowledged) {
        ended.remove(end);
        if (end.listed().outcome().completes() && end.lapses() == lapses) {
          oracle.completionAcknowledged(end.listed().run(), name());
        }
      }
    }
    if (!worker.equals(name())) {
      listener.accept(new WorkerGateway.SucceededBy(name()));
      return;
    }
    waiters.add(new Waiter(time.now() + waitMillis, listener));
    answerWaiters();
  }

  private void answerWaiters() {
    for (Waiter waiter : List.copyOf(waiters)) {
      if (!ended.isEmpty() || waiter.until() <= time.now()) {
        waiters.remove(waiter);
        waiter.listener().accept(listing());
      }
    }
  }

  private WorkerGateway.Listing listing() {
    ImmutableList.Builder<WorkerGateway.ActiveRun> rows = ImmutableList.builder();
    running.forEach(run -> rows.add(new WorkerGateway.ActiveRun(run, "", 10, 0)));
    ImmutableList.Builder<WorkerGateway.EndedRun> ends = ImmutableList.builder();
    ended.stream().limit(WorkerGateway.MAX_LISTED_ENDS).forEach(end -> ends.add(end.listed()));
    return new WorkerGateway.Listing(clock(), rows.build(), ends.build());
  }

  private void end(String worker, RunKey run, RunOutcome outcome) {
    if (!worker.equals(name()) || !running.remove(run)) {
      return;
    }
    over.merge(run.task(), run.attempt(), Math::max);
    ended.add(new End(new WorkerGateway.EndedRun(++sequence, run, outcome, ""), lapses));
    oracle.ended(run, name(), outcome.name());
    answerWaiters();
  }

  private void endLapsed() {
    if (lapsed || clock() <= deadline) {
      return;
    }
    oracle.note(() -> "WORKER " + name() + " lease expires");
    lapsed = true;
    lapses++;
    List.copyOf(running).forEach(run -> end(name(), run, RunOutcome.LAPSED));
  }

  /** Applies the passing of time; call this in each step. */
  void step() {
    if (up) {
      endLapsed();
      if (!waiters.isEmpty()) {
        answerWaiters();
      }
    }
  }
}
