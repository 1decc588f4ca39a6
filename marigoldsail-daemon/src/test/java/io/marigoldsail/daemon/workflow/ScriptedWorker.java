package io.marigoldsail.daemon.workflow;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A worker on virtual time whose responses a test controls; it starts and ends no run on its own.
 * Confined to one thread.
 */
final class ScriptedWorker implements WorkerGateway {
  private static final long CLOCK_START = 50_000;

  private final VirtualLoop time;
  private final Set<RunKey> running = new LinkedHashSet<>();
  private final List<EndedRun> ended = new ArrayList<>();
  private final List<RunKey> stopped = new ArrayList<>();
  private long sequence;
  private long acknowledgedUpTo;
  private long deadline = Long.MAX_VALUE;
  private boolean extendedAfterExpiry;
  private boolean unresponsive;
  private long failureDelayMillis = 1;
  private boolean dropsStarts;
  private boolean answersStarts = true;
  private boolean answersStops = true;
  private boolean refusesStarts;
  private boolean listingCallThrows;
  private boolean listingFutureFails;
  private boolean answersListingsInCall;
  private boolean executesStops;
  private int listings;

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

  /** Refuses each start for lack of capacity. */
  void refuseStarts() {
    refusesStarts = true;
  }

  /** Adds an active run that an earlier incarnation of the side process started. */
  void addActiveRun(RunKey run) {
    running.add(run);
  }

  /** Removes the run from listings without listing its end. */
  void removeActiveRun(RunKey run) {
    running.remove(run);
  }

  /** Ends the run as done; the end is listed until it is acknowledged, oldest ends first. */
  void endRun(RunKey run) {
    endRun(run, RunOutcome.DONE);
  }

  /** Ends the run; the end is listed until it is acknowledged, oldest ends first. */
  void endRun(RunKey run, RunOutcome outcome) {
    running.remove(run);
    ended.add(new EndedRun(++sequence, run, outcome, ""));
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
    extendedAfterExpiry |= clock() > deadline;
    deadline = deadline == Long.MAX_VALUE ? newDeadline : Math.max(deadline, newDeadline);
  }

  int listings() {
    return listings;
  }

  long clock() {
    return CLOCK_START + time.millis();
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
      return after(1, () -> new Refused(Refusal.INSUFFICIENT_CAPACITY, "injected: no capacity"));
    }
    if (!dropsStarts) {
      extend(start.deadline());
      running.add(start.run());
    }
    return after(
        1,
        () ->
            answersStarts ? new Accepted(clock()) : new OrderOutcomeUnknown("injected: no answer"));
  }

  @Override
  public CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    stopped.add(run);
    if (executesStops && running.contains(run)) {
      endRun(run, RunOutcome.STOPPED);
    }
    return after(
        1,
        () ->
            unresponsive || !answersStops
                ? new OrderOutcomeUnknown("injected: no answer")
                : new Accepted(clock()));
  }

  @Override
  public CompletableFuture<OrderResult> throttle(String worker, RunKey run, int percent) {
    return after(1, () -> new Accepted(clock()));
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
    newDeadline.ifPresent(this::extend);
    acknowledgedUpTo = acknowledged;
    ended.removeIf(end -> end.sequence() <= acknowledgedUpTo);
    if (answersListingsInCall && waitMillis == 0) {
      return CompletableFuture.completedFuture(listing());
    }
    return executesStops
        ? listingOnceEnded(time.millis() + Math.max(1, waitMillis))
        : after(Math.max(1, waitMillis), this::listing);
  }

  private CompletableFuture<ListingResult> listingOnceEnded(long respondBy) {
    return after(1, () -> !ended.isEmpty() || time.millis() >= respondBy)
        .thenCompose(
            due ->
                due ? CompletableFuture.completedFuture(listing()) : listingOnceEnded(respondBy));
  }
}
