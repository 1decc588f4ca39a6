package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The departure of a worker, from its deregistration to the end of its session. The worker runs on
 * until it has the response, and for some seconds if the response is lost.
 *
 * <p>A deregistration therefore stops the runs, but it ends none. The session ends once every run
 * has ended or can no longer start, or once the worker's lease has expired. Confined to the loop's
 * thread.
 */
final class WorkerDeparture {
  private static final EventLog LOG = EventLog.of(WorkerDeparture.class);

  /**
   * How long the response waits for the ends of runs and their acknowledgement, in nanoseconds. The
   * platform counts a response after more than a second as late.
   */
  static final long MAX_RESPONSE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** How long owners may take to record the ends of runs whose lease expired, in nanoseconds. */
  private static final long END_REPORT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final LinkLoop loop;
  private final WorkerSession session;
  private final WorkerLease lease;
  private final UnacknowledgedEnds ends;
  private final List<CompletableFuture<Boolean>> unanswered = new ArrayList<>();
  private boolean announced;
  private boolean closed;
  private long respondBy;
  private long endBy = Long.MAX_VALUE;
  private long acknowledgementSent;
  private long acknowledgementReceived;
  private boolean unresponsive;

  WorkerDeparture(
      LinkLoop loop, WorkerSession session, WorkerLease lease, UnacknowledgedEnds ends) {
    this.loop = requireNonNull(loop, "loop");
    this.session = requireNonNull(session, "session");
    this.lease = requireNonNull(lease, "lease");
    this.ends = requireNonNull(ends, "ends");
  }

  /** Returns whether the worker has deregistered; it must get no new runs and no longer lease. */
  boolean isAnnounced() {
    return announced;
  }

  /** Returns the heartbeat as draining if the worker has deregistered, however late it arrives. */
  WorkerHeartbeat applyTo(WorkerHeartbeat heartbeat) {
    return announced ? heartbeat.asDraining() : heartbeat;
  }

  /**
   * Handles a deregistration, which may be repeated: stops all runs.
   *
   * @return completes on the loop with {@code true} when the worker is to be answered
   */
  CompletableFuture<Boolean> announce() {
    CompletableFuture<Boolean> response = new CompletableFuture<>();
    unanswered.add(response);
    if (!announced) {
      announced = true;
      respondBy = loop.now() + MAX_RESPONSE_WAIT_NANOS;
      LOG.info(
          LogLine.of("worker-deregistered")
              .with("worker", session.worker())
              .with("runs", session.runs().size())
              .with("unanswered_orders", countUnansweredOrders()));
      session.heartbeat(session.heartbeat());
      List.copyOf(session.runs()).forEach(run -> session.stop(run.key()));
      loop.schedule(this::checkPeriodically, CHECK_INTERVAL_NANOS);
    }
    check();
    return response;
  }

  private long countUnansweredOrders() {
    return session.runs().stream().filter(run -> !run.isConfirmed()).count();
  }

  /** Records that a listing is requested with the acknowledgement. */
  void listingRequested(long acknowledgedUpTo) {
    acknowledgementSent = acknowledgedUpTo;
  }

  /** Records the result of the last listing, after the session has applied it. */
  void listingCompleted(boolean answered) {
    unresponsive = !answered;
    if (answered) {
      acknowledgementReceived = acknowledgementSent;
    }
    check();
  }

  private void checkPeriodically() {
    if (!closed) {
      loop.schedule(this::checkPeriodically, CHECK_INTERVAL_NANOS);
      check();
    }
  }

  private void check() {
    if (!announced || closed) {
      return;
    }
    lapseIfExpired();
    boolean settled = session.runs().isEmpty() && !ends.isAwaitingOwners();
    if (settled && hasReceivedAcknowledgements()) {
      respond("all runs have ended");
    } else if (loop.now() >= respondBy) {
      respond("the worker must not wait any longer");
    }
    if (unanswered.isEmpty()) {
      endIfProven();
    }
  }

  private boolean hasReceivedAcknowledgements() {
    return acknowledgementReceived >= ends.acknowledgedUpTo();
  }

  private void lapseIfExpired() {
    if (lease.isExpired()) {
      session.lapseRuns("the lease of the deregistered worker expired");
      endBy = Math.min(endBy, loop.now() + END_REPORT_NANOS);
    }
  }

  private void respond(String reason) {
    if (unanswered.isEmpty()) {
      return;
    }
    LOG.info(
        LogLine.of("deregistration-answered")
            .with("worker", session.worker())
            .with("runs", session.runs().size())
            .with("ends", ends.all().size())
            .with("waited_ms", waitedMillis())
            .with("reason", reason));
    completeAll();
  }

  private long waitedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(loop.now() - (respondBy - MAX_RESPONSE_WAIT_NANOS));
  }

  private void completeAll() {
    List<CompletableFuture<Boolean>> due = List.copyOf(unanswered);
    unanswered.clear();
    due.forEach(response -> response.complete(true));
  }

  /** Ends the session once no run on the worker can be active or start any more. */
  private void endIfProven() {
    if (!session.runs().isEmpty()) {
      return;
    }
    boolean reported = ends.all().isEmpty() && (unresponsive || hasReceivedAcknowledgements());
    if (lease.isExpired() && (reported || loop.now() >= endBy)) {
      session.end("the worker deregistered", "its lease has expired");
    } else if (reported && !lease.mayExecutePredecessorStarts()) {
      session.end("the worker deregistered", "all its runs have ended or can no longer start");
    }
  }

  /** Answers the worker, because its session has ended. */
  void close() {
    closed = true;
    completeAll();
  }
}
