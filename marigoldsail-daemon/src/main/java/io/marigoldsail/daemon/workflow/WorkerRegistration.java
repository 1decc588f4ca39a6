package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.workflow.WorkerIncarnation;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.concurrent.CompletableFuture;

/**
 * Finds the worker of this VM by its heartbeats and keeps the session of its present incarnation.
 * Confined to the loop's thread.
 */
final class WorkerRegistration {
  private static final EventLog LOG = EventLog.of(WorkerRegistration.class);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final int partitions;
  private final WorkerLeaseTerms terms;
  private final InterferenceScope scope;
  private final WorkerSessionListener listener;
  private final Runnable sessionFound;
  private final WorkerSuccession succession;
  private WorkerSession session;
  private String goneWorker = "";
  private String deregisteredWorker = "";
  private boolean probeInFlight;

  /**
   * Creates a registration without a session.
   *
   * @param listener passed to each session
   * @param sessionFound called after a session has begun
   */
  WorkerRegistration(
      LinkLoop loop,
      WorkerGateway gateway,
      int partitions,
      WorkerLeaseTerms terms,
      InterferenceScope scope,
      WorkerSessionListener listener,
      Runnable sessionFound) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.partitions = partitions;
    this.terms = requireNonNull(terms, "terms");
    this.scope = requireNonNull(scope, "scope");
    this.listener = requireNonNull(listener, "listener");
    this.sessionFound = requireNonNull(sessionFound, "sessionFound");
    this.succession = new WorkerSuccession(loop, gateway);
  }

  /** Returns the session of the present incarnation; {@code null} while there is none. */
  WorkerSession session() {
    return session;
  }

  /** Returns the last incarnation whose session has ended; empty if there was none. */
  String goneWorker() {
    return goneWorker;
  }

  /** Handles a heartbeat and completes the future with whether its content is in effect. */
  void heartbeat(WorkerHeartbeat heartbeat, CompletableFuture<Boolean> accepted) {
    if (session != null && session.worker().equals(heartbeat.worker())) {
      if (heartbeat.sequence() >= session.heartbeat().sequence()) {
        session.heartbeat(heartbeat);
      }
      if (session.health().isFenced()) {
        regain(heartbeat.worker());
      }
      accepted.complete(true);
      return;
    }
    if (heartbeat.worker().equals(goneWorker) || probeInFlight) {
      // A heartbeat may arrive long after its sender has ended; a live worker sends another one.
      accepted.complete(false);
      return;
    }
    probeInFlight = true;
    if (succeedsKnownIncarnation(heartbeat.worker())) {
      succession
          .clear(heartbeat.worker())
          .thenAccept(
              cleared -> {
                if (cleared) {
                  probe(heartbeat, accepted);
                } else {
                  probeInFlight = false;
                  accepted.complete(false);
                }
              });
      return;
    }
    probe(heartbeat, accepted);
  }

  /**
   * Takes over again the worker of the session, which ignores its calls since one of an earlier
   * side process, with a higher fence, was executed late. The heartbeats show that this process is
   * the present one; the session goes on with its next listing.
   */
  private void regain(String worker) {
    if (probeInFlight) {
      return;
    }
    probeInFlight = true;
    ListingScheduler.resultOf(worker, () -> gateway.takeOver(worker))
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      probeInFlight = false;
                      LOG.info(
                          LogLine.of("worker-regained")
                              .with("worker", worker)
                              .with("regained", result instanceof Listing));
                    }));
  }

  /** Returns whether calls for an earlier incarnation may have been executed by this one. */
  private boolean succeedsKnownIncarnation(String worker) {
    return WorkerIncarnation.areSuccessive(goneWorker, worker)
        || (session != null && WorkerIncarnation.areSuccessive(session.worker(), worker));
  }

  private void probe(WorkerHeartbeat heartbeat, CompletableFuture<Boolean> accepted) {
    ListingScheduler.resultOf(heartbeat.worker(), () -> gateway.takeOver(heartbeat.worker()))
        .thenAccept(result -> loop.run(() -> handleProbeResult(heartbeat, result, accepted)));
  }

  private void handleProbeResult(
      WorkerHeartbeat heartbeat, ListingResult result, CompletableFuture<Boolean> accepted) {
    probeInFlight = false;
    if (!(result instanceof Listing listing)) {
      LOG.info(
          LogLine.of("heartbeat-passed-over")
              .with("worker", heartbeat.worker())
              .with("sequence", heartbeat.sequence())
              .with("reason", result));
      accepted.complete(false);
      return;
    }
    if (session != null) {
      session.end("another incarnation of the worker replaced it", "its first listing");
    }
    session =
        new WorkerSession(loop, gateway, heartbeat, listing, partitions, terms, scope, listener);
    LOG.info(
        LogLine.of("worker-found")
            .with("worker", heartbeat.worker())
            .with("service", heartbeat.service())
            .with("labels", heartbeat.labels())
            .with("running", listing.running().size())
            .with("draining", heartbeat.draining()));
    session.start();
    if (isDeregistered(heartbeat)) {
      session.deregister();
    }
    sessionFound.run();
    accepted.complete(true);
  }

  /**
   * Returns whether the worker has deregistered. A deregistration names the id only, which a later
   * incarnation may share; a worker that ends as planned drains first.
   */
  private boolean isDeregistered(WorkerHeartbeat heartbeat) {
    return heartbeat.worker().equals(deregisteredWorker)
        || (WorkerIncarnation.idOf(heartbeat.worker()).equals(deregisteredWorker)
            && heartbeat.draining());
  }

  /**
   * Handles a deregistration; it may be repeated.
   *
   * @param worker the id of the worker
   */
  CompletableFuture<Boolean> deregister(String worker) {
    deregisteredWorker = worker;
    if (session != null && isDeregistered(session.heartbeat())) {
      deregisteredWorker = session.worker();
      return session.deregister();
    }
    LOG.info(
        LogLine.of("deregistration-passed-over")
            .with("worker", worker)
            .with("current", session == null ? "" : session.worker())
            .with("reason", "the worker has no session, or it does not drain"));
    return CompletableFuture.completedFuture(true);
  }

  /** Ends the session once its successor, an incarnation under the same id, is cleared. */
  void succeeded(WorkerSession succeeded, String successor) {
    succession
        .clear(successor)
        .thenAccept(
            cleared -> {
              if (cleared) {
                succeeded.end("the worker started again under its id", "its successor's listing");
              }
            });
  }

  /** Forgets the session that has ended; returns whether it was the present one. */
  boolean ended(WorkerSession ended) {
    if (session != ended) {
      return false;
    }
    goneWorker = ended.worker();
    session = null;
    return true;
  }
}
