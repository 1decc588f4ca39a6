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
 * A worker on virtual time that answers as it is told; it starts and ends nothing by itself. One
 * thread.
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
  private boolean listingCallThrows;
  private boolean listingFutureFails;
  private int listings;

  ScriptedWorker(VirtualLoop time) {
    this.time = time;
  }

  /** Returns the first heartbeat of a worker with room for many runs. */
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

  /** Answers nothing from now on; each listing fails after the time. */
  void becomeUnresponsive(long millis) {
    unresponsive = true;
    failureDelayMillis = millis;
  }

  /** Throws when it is asked for a listing from now on. */
  void throwOnListingCall() {
    listingCallThrows = true;
  }

  /** Ends each listing with an exception from now on. */
  void failListingFuture() {
    listingFutureFails = true;
  }

  void recover() {
    unresponsive = false;
    listingCallThrows = false;
    listingFutureFails = false;
  }

  /** Leaves starts without an answer; those that it carries out are listed all the same. */
  void leaveStartsUnanswered(boolean carriesOut) {
    answersStarts = false;
    dropsStarts = !carriesOut;
  }

  void leaveStopsUnanswered() {
    answersStops = false;
  }

  /** Lists the run, which another life of the side process started. */
  void addActiveRun(RunKey run) {
    running.add(run);
  }

  /** Lists the run no more, and no end of it. */
  void removeActiveRun(RunKey run) {
    running.remove(run);
  }

  /** Ends the run as done; listed until it is noted, with the oldest ends first. */
  void endRun(RunKey run) {
    running.remove(run);
    ended.add(new EndedRun(++sequence, run, RunOutcome.DONE, ""));
  }

  /** Returns the runs that it was told to stop. */
  List<RunKey> stopped() {
    return List.copyOf(stopped);
  }

  /** Returns the number up to which its ends were noted. */
  long acknowledgedUpTo() {
    return acknowledgedUpTo;
  }

  /** Returns whether it was given a later deadline only after the one before had passed. */
  boolean isExtendedAfterExpiry() {
    return extendedAfterExpiry;
  }

  private void extend(long until) {
    extendedAfterExpiry |= clock() > deadline;
    deadline = deadline == Long.MAX_VALUE ? until : Math.max(deadline, until);
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
      return after(1, () -> new OrderOutcomeUnknown("silent"));
    }
    if (!dropsStarts) {
      extend(start.deadline());
      running.add(start.run());
    }
    return after(
        1,
        () -> answersStarts ? new Accepted(clock()) : new OrderOutcomeUnknown("told to be silent"));
  }

  @Override
  public CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    stopped.add(run);
    return after(
        1,
        () ->
            unresponsive || !answersStops
                ? new OrderOutcomeUnknown("told to be silent")
                : new Accepted(clock()));
  }

  @Override
  public CompletableFuture<OrderResult> throttle(String worker, RunKey run, int percent) {
    return after(1, () -> new Accepted(clock()));
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong until, long notedUpTo, long waitMillis) {
    listings++;
    if (listingCallThrows) {
      throw new IllegalStateException("told to throw");
    }
    if (listingFutureFails) {
      return CompletableFuture.failedFuture(new IllegalStateException("told to break"));
    }
    if (unresponsive) {
      return after(failureDelayMillis, () -> new ListingFailed("silent"));
    }
    until.ifPresent(this::extend);
    acknowledgedUpTo = notedUpTo;
    ended.removeIf(end -> end.sequence() <= acknowledgedUpTo);
    return after(Math.max(1, waitMillis), this::listing);
  }
}
