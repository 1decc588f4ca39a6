package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import java.util.Optional;
import java.util.concurrent.Future;

/**
 * When a worker is asked for its next listing: one is under way or one is planned, never two.
 *
 * <p>Guards against listings that multiply: asked for early while one is planned, a second chain of
 * them would begin, and each chain asks for as long as the worker lives. A plan takes the place of
 * the one before. Confined to the loop's thread.
 */
final class ListingTurns {
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

  /** Asks now, unless a listing is under way, which plans the next one itself. */
  void now() {
    if (closed || underWay) {
      return;
    }
    cancelPlan();
    underWay = true;
    look.run();
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
