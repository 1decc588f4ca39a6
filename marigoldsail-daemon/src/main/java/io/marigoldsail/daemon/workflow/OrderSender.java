package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.daemon.workflow.WorkerGateway.IncarnationMismatch;
import io.marigoldsail.daemon.workflow.WorkerGateway.OrderOutcomeUnknown;
import io.marigoldsail.daemon.workflow.WorkerGateway.OrderResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refused;
import java.util.concurrent.TimeUnit;

/**
 * Sends starts and stops to one worker incarnation, and again while they are unanswered: starts up
 * to a limit, stops until the worker has executed them. Confined to the loop's thread.
 */
final class OrderSender {
  private static final EventLog LOG = EventLog.of(OrderSender.class);

  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final int MAX_START_TRIES = 3;

  /** The session that the runs belong to; called on the loop. */
  interface Listener {
    /** Returns whether the run still has to be started or stopped. */
    boolean isCurrent(SideRun run);

    /** Extends the worker's lease as far as possible and returns its deadline. */
    long extendedDeadline();

    /** Returns whether an unanswered start must not be sent again. */
    boolean acceptsNoStarts();

    /** The worker has executed the start. */
    void startExecuted(SideRun run);

    /** The worker has refused the start. */
    void startRefused(SideRun run, Refused refused);

    /** The worker has not answered; the start may still be executed. */
    void startUnanswered();

    /** The start is not sent again; an earlier copy may still be executed. */
    void startAbandoned(SideRun run);

    /** Another incarnation of the worker responded. */
    void incarnationChanged();
  }

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final WorkerLease lease;
  private final Listener listener;

  OrderSender(
      LinkLoop loop, WorkerGateway gateway, String worker, WorkerLease lease, Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
    this.lease = requireNonNull(lease, "lease");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Sends the start of the run, which has an order. */
  void sendStart(SideRun run) {
    int tries = run.countStartTry();
    long deadline = listener.extendedDeadline();
    WorkerGateway.StartOrder start =
        new WorkerGateway.StartOrder(
            run.key(),
            run.program(),
            deadline,
            run.order().orElseThrow().getCheckpoint(),
            run.order().orElseThrow().getTicket());
    gateway
        .start(worker, start)
        .thenAccept(result -> loop.run(() -> onStartResult(run, tries, result)));
  }

  private void onStartResult(SideRun run, int tries, OrderResult result) {
    if (!listener.isCurrent(run)) {
      return;
    }
    if (run.isStopping()) {
      LOG.info(
          LogLine.of("start-overtaken")
              .with("run", run.key())
              .with("worker", worker)
              .with("tries", tries)
              .with("result", result));
      return;
    }
    if (result instanceof Accepted accepted) {
      lease.recordClock(accepted.workerClock());
      run.confirm();
      listener.startExecuted(run);
    } else if (result instanceof IncarnationMismatch) {
      listener.incarnationChanged();
    } else if (result instanceof Refused refused) {
      listener.startRefused(run, refused);
    } else {
      onUnanswered(run, tries, ((OrderOutcomeUnknown) result).reason());
    }
  }

  private void onUnanswered(SideRun run, int tries, String reason) {
    LOG.info(
        LogLine.of("start-unanswered")
            .with("run", run.key())
            .with("tries", tries)
            .with("reason", reason));
    run.markStartOutcomeUnknown();
    listener.startUnanswered();
    if (run.isListed()) {
      return;
    }
    if (tries < MAX_START_TRIES) {
      loop.schedule(() -> retryStart(run), RETRY_DELAY_NANOS);
    } else {
      listener.startAbandoned(run);
    }
  }

  private void retryStart(SideRun run) {
    if (!listener.isCurrent(run) || run.isStopping() || run.isListed()) {
      return;
    }
    boolean interrupted = lease.mayHaveTakenOver(run.partition(), run.orderedAt());
    if (interrupted || listener.acceptsNoStarts()) {
      // Its owner may have ordered another attempt, a draining worker would end the run shortly, or
      // the zone is evacuated; a stop invalidates the first start order.
      LOG.info(
          LogLine.of("start-abandoned")
              .with("run", run.key())
              .with("worker", worker)
              .with("interrupted", interrupted));
      listener.startAbandoned(run);
    } else {
      sendStart(run);
    }
  }

  /** Sends a stop of the run and confirms the run once the worker has executed it. */
  void sendStop(SideRun run) {
    sendStop(run, 1, loop.now());
  }

  private void sendStop(SideRun run, int tries, long firstSentAt) {
    gateway
        .stop(worker, run.key())
        .thenAccept(result -> loop.run(() -> onStopResult(run, tries, firstSentAt, result)));
  }

  private void onStopResult(SideRun run, int tries, long firstSentAt, OrderResult result) {
    if (!listener.isCurrent(run)) {
      return;
    }
    if (result instanceof IncarnationMismatch) {
      listener.incarnationChanged();
      return;
    }
    boolean stale = result instanceof Refused refused && refused.refusal() == Refusal.STALE_ATTEMPT;
    boolean executed = result instanceof Accepted || stale;
    LOG.info(
        LogLine.of(executed ? "stop-executed" : "stop-retried")
            .with("run", run.key())
            .with("worker", worker)
            .with("tries", tries)
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - firstSentAt))
            .with("listed", run.isListed())
            .with("result", result));
    if (result instanceof Accepted accepted) {
      lease.recordClock(accepted.workerClock());
    }
    if (executed) {
      run.confirm();
    } else {
      loop.schedule(() -> retryStop(run, tries + 1, firstSentAt), RETRY_DELAY_NANOS);
    }
  }

  private void retryStop(SideRun run, int tries, long firstSentAt) {
    if (listener.isCurrent(run)) {
      sendStop(run, tries, firstSentAt);
    }
  }
}
