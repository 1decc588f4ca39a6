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
 * Schedules the listing requests to a worker: one is either in flight or scheduled, never both.
 *
 * <p>Each listing schedules the next one. Without this rule a request made early, while another is
 * scheduled, would start a second chain of requests that lasts as long as the worker. Scheduling a
 * request therefore replaces the one scheduled before. Confined to the loop's thread.
 */
final class ListingScheduler {
  private static final EventLog LOG = EventLog.of(ListingScheduler.class);

  /** How long a request waits at the worker for a run to end, in milliseconds. */
  private static final long WAIT_MILLIS = 900;

  /** The wait while service tasks run: their tail latency is measured every half second. */
  private static final long SERVICE_WAIT_MILLIS = 450;

  /** Delay before the next request after one that threw, in nanoseconds. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final LinkLoop loop;
  private final Runnable requestListing;
  private Optional<Future<?>> scheduled = Optional.empty();
  private boolean inFlight;
  private boolean closed;

  /**
   * Creates a scheduler without a scheduled request.
   *
   * @param requestListing requests a listing and calls {@link #completed} when the request
   *     completes
   */
  ListingScheduler(LinkLoop loop, Runnable requestListing) {
    this.loop = requireNonNull(loop, "loop");
    this.requestListing = requireNonNull(requestListing, "requestListing");
  }

  /**
   * Requests a listing now, unless one is in flight.
   *
   * <p>If the request throws, no response arrives that would schedule the next request: the worker
   * would never be polled again and its runs would count as active forever. The request then counts
   * as completed, and a retry is scheduled.
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
   * Returns the result of a listing request; the future never completes exceptionally.
   *
   * <p>A request that throws or whose future fails counts as unanswered. An unhandled exception
   * would leave the request in flight forever: the worker would still receive orders, and its runs
   * would count as active even after its lease has expired.
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

  /** Returns how long a request may wait at the worker for a run to end, in milliseconds. */
  static long waitMillis(boolean hasServiceTasks) {
    return hasServiceTasks ? SERVICE_WAIT_MILLIS : WAIT_MILLIS;
  }

  /** Schedules the next request and cancels the one scheduled before. */
  void scheduleAfter(long delayNanos) {
    if (closed) {
      return;
    }
    cancelScheduled();
    scheduled = Optional.of(loop.schedule(this::requestNow, delayNanos));
  }

  /** Marks the request in flight as completed. */
  void completed() {
    inFlight = false;
  }

  void close() {
    closed = true;
    cancelScheduled();
  }

  private void cancelScheduled() {
    scheduled.ifPresent(request -> request.cancel(false));
    scheduled = Optional.empty();
  }
}
