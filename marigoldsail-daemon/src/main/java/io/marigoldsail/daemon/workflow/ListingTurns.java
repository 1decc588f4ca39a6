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
 * When a worker is asked for its next listing: one is under way or one is planned, never two.
 *
 * <p>Guards against listings that multiply: asked for early while one is planned, a second chain of
 * them would begin, and each chain asks for as long as the worker lives. A plan takes the place of
 * the one before. Confined to the loop's thread.
 */
final class ListingTurns {
  private static final EventLog LOG = EventLog.of(ListingTurns.class);

  /** Until the next try where asking threw, in nanoseconds. */
  private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final LinkLoop loop;
  private final Runnable look;
  private Optional<Future<?>> planned = Optional.empty();
  private boolean underWay;
  private boolean closed;

  /**
   * Creates turns of which none is planned.
   *
   * @param look asks for a listing and calls {@link #ended} once it is answered
   */
  ListingTurns(LinkLoop loop, Runnable look) {
    this.loop = requireNonNull(loop, "loop");
    this.look = requireNonNull(look, "look");
  }

  /**
   * Asks now, unless a listing is under way, which plans the next one itself.
   *
   * <p>Guards against a worker that is never asked again: where asking throws, no answer comes that
   * would end the turn and plan the next one, and what ran then counts as at work for good. So the
   * turn ends here, and the next one is planned.
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
   * Returns what the listing brings; its future never completes exceptionally.
   *
   * <p>Guards against a listing whose exception nobody hears: the turn would never end, the worker
   * would go on to get orders, and what it ran would count as at work also after its lease. A
   * listing that throws or ends with an exception is one without an answer.
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

  /** Plans the next listing, in place of what was planned. */
  void after(long delayNanos) {
    if (closed) {
      return;
    }
    cancelPlan();
    planned = Optional.of(loop.schedule(this::now, delayNanos));
  }

  /** Takes note that the listing under way was answered. */
  void ended() {
    underWay = false;
  }

  void close() {
    closed = true;
    cancelPlan();
  }

  private void cancelPlan() {
    planned.ifPresent(plan -> plan.cancel(false));
    planned = Optional.empty();
  }
}
