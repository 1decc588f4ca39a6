package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.NoListing;
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
final class ListingTurns {
  private static final EventLog LOG = EventLog.of(ListingTurns.class);

  /** Delay before the next request after one that threw, in nanoseconds. */
  private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final LinkLoop loop;
  private final Runnable look;
  private Optional<Future<?>> planned = Optional.empty();
  private boolean underWay;
  private boolean closed;

  /**
   * Creates a scheduler without a scheduled request.
   *
   * @param look requests a listing and calls {@link #ended} when the request completes
   */
  ListingTurns(LinkLoop loop, Runnable look) {
    this.loop = requireNonNull(loop, "loop");
    this.look = requireNonNull(look, "look");
  }

  /**
   * Requests a listing now, unless one is in flight.
   *
   * <p>If the request throws, no response arrives that would schedule the next request: the worker
   * would never be polled again and its runs would count as active forever. The request then counts
   * as completed, and a retry is scheduled.
   */
  void now() {
    if (closed || underWay) {
      return;
    }
    cancelPlan();
    underWay = true;
    try {
      look.run();
    } catch (RuntimeException e) {
      LOG.error(LogLine.of("listing-not-asked-for").withError(e));
      ended();
      after(AGAIN_NANOS);
    }
  }

  /**
   * Returns the result of a listing request; the future never completes exceptionally.
   *
   * <p>A request that throws or whose future fails counts as unanswered. An unhandled exception would
   * leave the request in flight forever: the worker would still receive orders, and its runs would
   * count as active even after its lease has expired.
   */
  static CompletableFuture<ListingResult> answer(
      String worker, Supplier<CompletableFuture<ListingResult>> listing) {
    return CompletableFuture.completedFuture(worker)
        .thenCompose(unused -> listing.get())
        .exceptionally(
            error -> {
              boolean wrapped = error instanceof CompletionException && error.getCause() != null;
              Throwable cause = wrapped ? error.getCause() : error;
              LOG.error(LogLine.of("listing-broke").with("worker", worker).withError(cause));
              return new NoListing(cause.toString());
            });
  }

  /** Schedules the next request and cancels the one scheduled before. */
  void after(long delayNanos) {
    if (closed) {
      return;
    }
    cancelPlan();
    planned = Optional.of(loop.schedule(this::now, delayNanos));
  }

  /** Marks the request in flight as completed. */
  void ended() {
    underWay = false;
  }

  void close() {
    closed = true;
    cancelPlan();
  }

  private void cancelPlan() {
    planned.ifPresent(request -> request.cancel(false));
    planned = Optional.empty();
  }
}
