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
 * A worker on virtual time whose responses a test controls; it starts and ends no run on its own. Confined
 * to one thread.
 */
final class ScriptedWorker implements WorkerGateway {
  private static final long CLOCK_START = 50_000;

  private final VirtualLoop time;
  private final Set<RunKey> running = new LinkedHashSet<>();
  private final List<Ended> ended = new ArrayList<>();
  private final List<RunKey> stopped = new ArrayList<>();
  private long sequence;
  private long noted;
  private long deadline = Long.MAX_VALUE;
  private boolean lapsed;
  private boolean silent;
  private long failsAfterMillis = 1;
  private boolean loses;
  private boolean answersStarts = true;
  private boolean answersStops = true;
  private boolean listingsThrow;
  private boolean listingsBreak;
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
  void fallSilent(long millis) {
    silent = true;
    failsAfterMillis = millis;
  }

  /** Makes each listing call throw from now on. */
  void throwOnListings() {
    listingsThrow = true;
  }

  /** Makes the future of each listing fail from now on. */
  void breakListings() {
    listingsBreak = true;
  }

  void answerAgain() {
    silent = false;
    listingsThrow = false;
    listingsBreak = false;
  }

  /** Leaves starts unanswered; the ones that it executes are listed nevertheless. */
  void leaveStartsUnanswered(boolean executes) {
    answersStarts = false;
    loses = !executes;
  }

  void leaveStopsUnanswered() {
    answersStops = false;
  }

  /** Adds an active run that an earlier incarnation of the side process started. */
  void run(RunKey run) {
    running.add(run);
  }

  /** Removes the run from listings without listing its end. */
  void forget(RunKey run) {
    running.remove(run);
  }

  /** Ends the run as done; the end is listed until it is acknowledged, oldest ends first. */
  void end(RunKey run) {
    running.remove(run);
    ended.add(new Ended(++sequence, run, RunOutcome.DONE, ""));
  }

  /** Returns the runs for which a stop was ordered. */
  List<RunKey> stopped() {
    return List.copyOf(stopped);
  }

  /** Returns the sequence number up to which ends were acknowledged. */
  long noted() {
    return noted;
  }

  /** Returns whether the deadline was ever extended only after it had passed. */
  boolean isLapsed() {
    return lapsed;
  }

  private void extend(long until) {
    lapsed |= clock() > deadline;
    deadline = deadline == Long.MAX_VALUE ? until : Math.max(deadline, until);
  }

  int listings() {
    return listings;
  }

  long clock() {
    return CLOCK_START + time.millis();
  }

  Listing listing() {
    ImmutableList.Builder<Running> rows = ImmutableList.builder();
    running.forEach(run -> rows.add(new Running(run, "", 10, 0)));
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
  public CompletableFuture<OrderResult> start(String worker, Start start) {
    if (silent) {
      return after(1, () -> new OrderUnknown("silent"));
    }
    if (!loses) {
      extend(start.deadline());
      running.add(start.run());
    }
    return after(
        1, () -> answersStarts ? new Accepted(clock()) : new OrderUnknown("injected: no answer"));
  }

  @Override
  public CompletableFuture<OrderResult> stop(String worker, RunKey run) {
    stopped.add(run);
    return after(
        1,
        () ->
            silent || !answersStops
                ? new OrderUnknown("injected: no answer")
                : new Accepted(clock()));
  }

  @Override
  public CompletableFuture<OrderResult> pace(String worker, RunKey run, int percent) {
    return after(1, () -> new Accepted(clock()));
  }

  @Override
  public CompletableFuture<ListingResult> list(
      String worker, OptionalLong newDeadline, long acknowledged, long waitMillis) {
    listings++;
    if (listingsThrow) {
      throw new IllegalStateException("injected failure");
    }
    if (listingsBreak) {
      return CompletableFuture.failedFuture(new IllegalStateException("injected failure"));
    }
    if (silent) {
      return after(failsAfterMillis, () -> new NoListing("silent"));
    }
    newDeadline.ifPresent(this::extend);
    noted = acknowledged;
    ended.removeIf(end -> end.sequence() <= noted);
    return after(Math.max(1, waitMillis), this::listing);
  }
}
