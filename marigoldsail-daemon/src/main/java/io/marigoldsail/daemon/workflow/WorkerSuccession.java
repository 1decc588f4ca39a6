package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.ActiveRun;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.workflow.RunKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Clears a worker that started again under its id of the runs that it started for calls to its
 * earlier incarnation, before that one counts as gone.
 *
 * <p>A call without a response may be executed seconds later, also by the successor, which cannot
 * tell for whom it was meant. An owner that hears that the earlier incarnation is gone orders the
 * next attempt at once, so the successor must be fenced and run nothing by then. Confined to the
 * loop's thread.
 */
final class WorkerSuccession {
  private static final EventLog LOG = EventLog.of(WorkerSuccession.class);

  /** Delay until the next look at runs that are being stopped, in nanoseconds. */
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final List<CompletableFuture<Boolean>> waiting = new ArrayList<>();
  private final Set<RunKey> logged = new HashSet<>();
  private String successor = "";

  WorkerSuccession(LinkLoop loop, WorkerGateway gateway) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
  }

  /**
   * Fences the incarnation and stops all that runs on it.
   *
   * @return completes on the loop with whether the incarnation is fenced and runs nothing; with
   *     {@code false} also while another one is being cleared
   */
  CompletableFuture<Boolean> clear(String worker) {
    if (!waiting.isEmpty() && !worker.equals(successor)) {
      return CompletableFuture.completedFuture(false);
    }
    CompletableFuture<Boolean> cleared = new CompletableFuture<>();
    waiting.add(cleared);
    if (waiting.size() == 1) {
      successor = worker;
      logged.clear();
      takeOver();
    }
    return cleared;
  }

  private void takeOver() {
    ListingScheduler.resultOf(successor, () -> gateway.takeOver(successor))
        .thenAccept(result -> loop.run(() -> handle(result)));
  }

  private void handle(ListingResult result) {
    if (!(result instanceof Listing listing)) {
      complete(false, result.toString());
    } else if (listing.running().isEmpty()) {
      complete(true, "it runs nothing");
    } else {
      listing.running().stream().map(ActiveRun::run).forEach(this::stop);
      loop.schedule(this::takeOver, CHECK_INTERVAL_NANOS);
    }
  }

  private void stop(RunKey run) {
    if (logged.add(run)) {
      LOG.info(LogLine.of("predecessor-run-found").with("run", run).with("worker", successor));
    }
    gateway.stop(successor, run);
  }

  private void complete(boolean cleared, String reason) {
    LOG.info(
        LogLine.of("worker-succeeded")
            .with("worker", successor)
            .with("cleared", cleared)
            .with("reason", reason));
    List<CompletableFuture<Boolean>> due = List.copyOf(waiting);
    waiting.clear();
    due.forEach(each -> each.complete(cleared));
  }
}
