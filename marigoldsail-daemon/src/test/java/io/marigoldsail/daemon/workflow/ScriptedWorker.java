package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A worker on virtual time whose responses a test controls; it lists no end that a test has not
 * asked for. Like the platform's worker it refuses starts whose deadline has passed, and attempts
 * that are not higher than one that ended or was stopped there; it accepts a lower attempt beside a
 * higher one that is active, and executes no call that was sent before it was taken over. Confined
 * to one thread.
 */
final class ScriptedWorker implements WorkerGateway {
  private static final long CLOCK_START = 50_000;

  private final VirtualLoop time;
  private final Set<RunKey> running = new LinkedHashSet<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private final List<RunKey> stopped = new ArrayList<>();
  private final Set<RunKey> lapsed = new HashSet<>();
  private final Map<TaskKey, Integer> endedAttempts = new HashMap<>();
  private long sequence;
  private long acknowledgedUpTo;
  private long deadline = Long.MAX_VALUE;
  private boolean extendedAfterExpiry;
  private boolean unresponsive;
  private boolean fencedByAnother;
  private long failureDelayMillis = 1;
  private boolean dropsStarts;
  private Refusal refusal = Refusal.INSUFFICIENT_CAPACITY;
  private boolean answersStarts = true;
  private boolean answersStops = true;
  private long startDelayMillis;
  private long stopDelayMillis;
  private boolean endsStoppedRuns;
  private long fence;
  private boolean refusesStarts;
  private boolean listingCallThrows;
  private boolean listingFutureFails;
  private boolean answersListingsInCall;
  private boolean listsAsOfRequest;
  private int clockPercent = 100;
  private boolean executesStops;
  private int listings;
  private String incarnation = "";

  ScriptedWorker(VirtualLoop time) {
    this.time = time;
  }

  /** Returns the first heartbeat of a worker with capacity for many runs. */
  static WorkerHeartbeat heartbeat(String worker) {
    return new WorkerHeartbeat(
        worker,
        "service",
        "zone",
        ImmutableList.of(),
        "",
        new Sizes(16_000, 1L << 33, 0),
        false,
        1);
  }

  /** Stops answering; each listing request fails after the given time. */
  void becomeUnresponsive(long millis) {
    unresponsive = true;
    failureDelayMillis = millis;
  }

  /** Ignores this process from now on, as if another one had taken it over, until it does again. */
  void becomeFencedByAnother() {
    fencedByAnother = true;
  }

  /** Makes each listing call throw from now on. */
  void throwOnListingCall() {
    listingCallThrows = true;
  }

  /** Makes the future of each listing fail from now on. */
  void failListingFuture() {
    listingFutureFails = true;
  }

  void recover() {
    unresponsive = false;
    listingCallThrows = false;
    listingFutureFails = false;
  }

  /** Leaves starts unanswered; the ones that it executes are listed nevertheless. */
  void leaveStartsUnanswered(boolean executes) {
    answersStarts = false;
    dropsStarts = !executes;
  }

  /** Leaves starts unanswered from now on and executes each after the delay. */
  void delayStarts(long millis) {
    startDelayMillis = millis;
    answersStarts = false;
  }

  /** Answers starts again, and executes them at once. */
  void answerStarts() {
    startDelayMillis = 0;
    answersStarts = true;
    dropsStarts = false;
  }

  /** Leaves stops unanswered from now on and executes each after the delay. */
  void delayStops(long millis) {
    stopDelayMillis = millis;
    answersStops = false;
  }

  /** Ends runs when a stop is answered; without this, a test ends them. */
  void endStoppedRuns() {
    endsStoppedRuns = true;
  }

  void leaveStopsUnanswered() {
    answersStops = false;
  }

  void answerStops() {
    answersStops = true;
  }

  /** Ends a running run as stopped once a stop of it arrives; a listing then stops waiting. */
  void executeStops() {
    executesStops = true;
  }

  /** Completes a listing that need not wait before the call returns. */
  void answerListingsInCall() {
    answersListingsInCall = true;
  }

  /** Starts anew under its id, as the named incarnation; runs and fences are forgotten. */
  void restart(String newIncarnation) {
    incarnation = newIncarnation;
    running.clear();
    ended.clear();
    endedAttempts.clear();
    fence = 0;
  }

  private boolean isSucceeded(String worker) {
    return !incarnation.isEmpty() && WorkerIncarnation.areSuccessive(worker, incarnation);
  }

  /** Refuses each start for lack of capacity. */
  void refuseStarts() {
    refuseStarts(Refusal.INSUFFICIENT_CAPACITY);
  }

  /** Refuses each start for the reason. */
  void refuseStarts(Refusal reason) {
    refusesStarts = true;
    refusal = reason;
  }

  void acceptStarts() {
    refusesStarts = false;
  }

  /** Lets its clock run slower than the time of the test from the beginning, in percent. */
  void runClockSlow(int percent) {
    clockPercent = 100 - percent;
  }

  /** Lets listings contain the runs as of their request, as if newer responses overtook them. */
  void listRunsAsOfTheRequest() {
    listsAsOfRequest = true;
  }

  /** Adds an active run that an earlier incarnation of the side process started. */
  void addActiveRun(RunKey run) {
    running.add(run);
  }

  /** Sets the deadline to which an earlier side process has extended the lease. */
  void leaseUntil(long newDeadline) {
    deadline = newDeadline;
  }

  /** Returns whether the run has started, has not ended, and its lease never expired. */
  boolean isActive(RunKey run) {
    recordLapse();
    return running.contains(run) && !lapsed.contains(run);
  }

  /** Returns whether a run of the workflow is active. */
  boolean isRunning(long workflow) {
    return List.copyOf(running).stream()
        .anyMatch(run -> run.task().workflow().equals(TestIds.id(workflow)) && isActive(run));
  }

  /** Returns the deadline of the lease; {@link Long#MAX_VALUE} if none was ever set. */
  long deadline() {
    return deadline;
  }

  /** Removes the run from listings without listing its end. */
  void removeActiveRun(RunKey run) {
    running.remove(run);
    endedAttempts.merge(run.task(), run.attempt(), Math::max);
  }

  /** Ends the run as done; the end is listed until it is acknowledged, oldest ends first. */
  void endRun(RunKey run) {
    endRun(run, RunOutcome.DONE);
  }

  /** Ends the run; the end is listed until it is acknowledged, oldest ends first. */
  void endRun(RunKey run, RunOutcome outcome) {
    running.remove(run);
    endedAttempts.merge(run.task(), run.attempt(), Math::max);
    ended.add(new EndedRun(++sequence, run, outcome, ""));
  }

  /** Ends all active runs. */
  void endAllRuns(RunOutcome outcome) {
    List.copyOf(running).forEach(run -> endRun(run, outcome));
  }

  /** Returns the runs for which a stop was ordered. */
  List<RunKey> stopped() {
    return List.copyOf(stopped);
  }

  /** Returns the sequence number up to which ends were acknowledged. */
  long acknowledgedUpTo() {
    return acknowledgedUpTo;
  }

  /** Returns whether the deadline was ever extended only after it had passed. */
  boolean isExtendedAfterExpiry() {
    return extendedAfterExpiry;
  }

  private void extend(long newDeadline) {
    recordLapse();
    extendedAfterExpiry |= clock() > deadline;
    deadline = deadline == Long.MAX_VALUE ? newDeadline : Math.max(deadline, newDeadline);
  }

  private void recordLapse() {
    if (clock() > deadline) {
      lapsed.addAll(running);
    }
  }

  int listings() {
    return listings;
  }

  long clock() {
    return CLOCK_START + time.millis() * clockPercent / 100;
  }

  Listing listing() {
    ImmutableList.Builder<ActiveRun> rows = ImmutableList.builder();
    running.forEach(run -> rows.add(new ActiveRun(run, "", 10, 0)));
    return new Listing(
        clock(),
        rows.build(),
        ended.stream().limit(MAX_LISTED_ENDS).collect(ImmutableList.toImmutableList()));
  }

  private <T> CompletableFuture<T> after(long millis, java.util.function.Supplier<T> result) {
    CompletableFuture<T> future = new CompletableFuture<>();
    time.loop()
        .schedule(() -> future.complete(result.get()), TimeUnit.MILLISECONDS.toNanos(millis));
    return future;
  }

  @Override
  public CompletableFuture<OrderResult> start(String worker, StartOrder start) {
    if (unresponsive) {
      return after(1, () -> new OrderOutcomeUnknown("injected: no answer"));
    }
    if (refusesStarts) {
      extend(start.deadline());
      return after(1, () -> new Refused(refusal, "injected: refused"));
    }
    if (startDelayMillis > 0) {
      long sentUnder = fence;
      after(startDelayMillis, () -> sentUnder < fence || execute(start) instanceof Accepted);
    } else if (!dropsStarts) {
      OrderResult result = execute(start);
      if (answersStarts) {
        return after(1, () -> result instanceof Accepted ? new Accepted(clock()) : result);
      }
    }
    OrderResult unanswered = new OrderOutcomeUnknown("injected: no answer");
    return after(1, () -> unanswered);
  }

  private OrderResult execute(StartOrder start) {
    recordLapse();
    RunKey run = start.run();
    if (start.deadline() > clock()) {
      extend(start.deadline());
    }
    if (running.contains(run)) {
      return new Accepted(clock());
    }
    if (run.attempt() <= endedAttempts.getOrDefault(run.task(), 0)) {
      return new Refused(Refusal.STALE_ATTEMPT, "old");
    }
    if (start.deadline() <= clock()) {
      return new Refused(Refusal.DEADLINE_PASSED, "late");
    }
    running.add(run);
    return new Accepted(clock());
  }

  @Override
  public CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    stopped.add(run);
    if (stopDelayMillis > 0) {
      long sentUnder = fence;
      after(stopDelayMillis, () -> sentUnder < fence || executeStop(run, true));
    } else if (!unresponsive && answersStops) {
      executeStop(run, endsStoppedRuns || executesStops);
    } else if (executesStops && running.contains(run)) {
      endRun(run, RunOutcome.STOPPED);
    }
    return after(
        1,
        () ->
            unresponsive || !answersStops
                ? new OrderOutcomeUnknown("injected: no answer")
                : new Accepted(clock()));
  }

  private boolean executeStop(RunKey run, boolean ends) {
    recordLapse();
    endedAttempts.merge(run.task(), run.attempt(), Math::max);
    if (ends && running.contains(run)) {
      endRun(run, RunOutcome.STOPPED);
    }
    return true;
  }

  @Override
  public CompletableFuture<OrderResult> throttle(String worker, RunKey run, int percent) {
    return after(1, () -> new Accepted(clock()));
  }

  @Override
  public CompletableFuture<ListingResult> takeOver(String worker) {
    if (!unresponsive && !isSucceeded(worker)) {
      fence++;
      fencedByAnother = false;
    }
    return list(worker, OptionalLong.empty(), 0, 0);
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong newDeadline, long acknowledged, long waitMillis) {
    listings++;
    if (listingCallThrows) {
      throw new IllegalStateException("injected failure");
    }
    if (listingFutureFails) {
      return CompletableFuture.failedFuture(new IllegalStateException("injected failure"));
    }
    if (unresponsive) {
      return after(failureDelayMillis, () -> new ListingFailed("injected: no answer"));
    }
    if (isSucceeded(worker)) {
      return after(1, () -> new SucceededBy(incarnation));
    }
    if (fencedByAnother) {
      return after(1, ListingFailed::fencedByAnother);
    }
    recordLapse();
    newDeadline.ifPresent(this::extend);
    acknowledgedUpTo = acknowledged;
    ended.removeIf(end -> end.sequence() <= acknowledgedUpTo);
    if (answersListingsInCall && waitMillis == 0) {
      return CompletableFuture.completedFuture(listing());
    }
    Listing asOfRequest = listing();
    return executesStops
        ? listingOnceEnded(time.millis() + Math.max(1, waitMillis))
        : after(Math.max(1, waitMillis), () -> listsAsOfRequest ? asOfRequest : listing());
  }

  private CompletableFuture<ListingResult> listingOnceEnded(long respondBy) {
    return after(1, () -> !ended.isEmpty() || time.millis() >= respondBy)
        .thenCompose(
            due ->
                due ? CompletableFuture.completedFuture(listing()) : listingOnceEnded(respondBy));
  }
}
