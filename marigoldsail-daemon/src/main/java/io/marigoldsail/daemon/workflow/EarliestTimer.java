package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import java.util.Optional;
import java.util.concurrent.Future;

/**
 * Runs a task once, at the earliest of the times requested since it ran last.
 *
 * <p>Confined to the loop's thread. Times are the loop's nanoseconds.
 */
final class EarliestTimer {
  private final LinkLoop loop;
  private final Runnable task;
  private Optional<Future<?>> scheduled = Optional.empty();
  private long runsAt;

  EarliestTimer(LinkLoop loop, Runnable task) {
    this.loop = requireNonNull(loop, "loop");
    this.task = requireNonNull(task, "task");
  }

  /** Requests a run at the time, or soon if it has passed; does nothing if it runs by then. */
  void request(long at) {
    if (scheduled.isPresent() && runsAt - at <= 0) {
      return;
    }
    scheduled.ifPresent(later -> later.cancel(false));
    runsAt = at;
    scheduled = Optional.of(loop.schedule(this::run, Math.max(0, at - loop.now())));
  }

  private void run() {
    scheduled = Optional.empty();
    task.run();
  }
}
