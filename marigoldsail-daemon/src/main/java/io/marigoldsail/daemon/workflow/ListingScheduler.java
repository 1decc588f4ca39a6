package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingFailed;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * When a worker is asked for its next listing: one is under way or one is planned, never two.
 *
 * <p>Guards against listings that multiply: asked for early while one is planned, a second chain of
 * them would begin, and each chain asks for as long as the worker lives. A plan takes the place of
 * the one before. Confined to the loop's thread.
 */
final class ListingScheduler {
  private static final EventLog LOG = EventLog.of(ListingScheduler.class);

  /** Until the next try where asking threw, in nanoseconds. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final LinkLoop loop;
  private final Runnable requestListing;
  private Optional<Future<?>> scheduled = Optional.empty();
  private boolean inFlight;
  private boolean closed;

  /**
   * Creates turns of which none is planned.
   *
   * @param look asks for a listing and calls {@link #completed} once it is answered
   */
  ListingScheduler(LinkLoop loop, Runnable look) {
    this.loop = requireNonNull(loop, "loop");
    this.requestListing = requireNonNull(look, "look");
  }

  /**
   * Asks now, unless a listing is under way, which plans the next one itself.
   *
   * <p>Guards against a worker that is never asked again: where asking throws, no answer comes that
   * would end the turn and plan the next one, and what ran then counts as at work for good. So the
   * turn ends here, and the next one is planned.
   */
  void requestNow() {
    if (closed || inFlight) {
      return;
    }
    cancelScheduled();
    inFlight = true;
    try {
      requestListing.run();
    } catch (RuntimeException e) {
      LOG.error(LogLine.of("listing-not-asked-for").withError(e));
      completed();
      scheduleAfter(RETRY_DELAY_NANOS);
    }
  }

  /**
   * Returns what the listing brings; its future never completes exceptionally.
   *
   * <p>Guards against a listing whose exception nobody hears: the turn would never end, the worker
   * would go on to get orders, and what it ran would count as at work also after its lease. A
   * listing that throws or ends with an exception is one without an answer.
   */
  static CompletableFuture<ListingResult> resultOf(
      String worker, Supplier<CompletableFuture<ListingResult>> listing) {
    return CompletableFuture.completedFuture(worker)
        .thenCompose(unused -> listing.get())
        .exceptionally(
            error -> {
              boolean wrapped = error instanceof CompletionException && error.getCause() != null;
              Throwable cause = wrapped ? error.getCause() : error;
              LOG.error(LogLine.of("listing-broke").with("worker", worker).withError(cause));
              return new ListingFailed(cause.toString());
            });
  }

  /** Plans the next listing, in place of what was planned. */
  void scheduleAfter(long delayNanos) {
    if (closed) {
      return;
    }
    cancelScheduled();
    scheduled = Optional.of(loop.schedule(this::requestNow, delayNanos));
  }

  /** Takes note that the listing under way was answered. */
  void completed() {
    inFlight = false;
  }

  void close() {
    closed = true;
    cancelScheduled();
  }

  private void cancelScheduled() {
    scheduled.ifPresent(plan -> plan.cancel(false));
    scheduled = Optional.empty();
  }
}
