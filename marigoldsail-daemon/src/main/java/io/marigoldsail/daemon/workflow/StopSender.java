package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.daemon.workflow.WorkerGateway.IncarnationMismatch;
import io.marigoldsail.daemon.workflow.WorkerGateway.OrderResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refused;
import java.util.concurrent.TimeUnit;

/** Sends stops to one worker incarnation until it answers. Confined to the loop's thread. */
final class StopSender {
  private static final EventLog LOG = EventLog.of(StopSender.class);

  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The session that the runs belong to; called on the loop. */
  interface Listener {
    /** Returns whether the run still has to be stopped. */
    boolean isCurrent(SideRun run);

    /** The worker has executed the stop, at the given time on its clock in milliseconds. */
    void stopExecuted(long workerClock);

    /** Another incarnation of the worker responded. */
    void incarnationChanged();
  }

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Listener listener;

  StopSender(LinkLoop loop, WorkerGateway gateway, String worker, Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
    this.listener = requireNonNull(listener, "listener");
  }

  /** Sends a stop of the run and confirms the run once the worker has executed it. */
  void send(SideRun run) {
    gateway.stop(worker, run.key()).thenAccept(result -> loop.run(() -> onResult(run, result)));
  }

  private void onResult(SideRun run, OrderResult result) {
    if (!listener.isCurrent(run)) {
      return;
    }
    if (result instanceof IncarnationMismatch) {
      listener.incarnationChanged();
    } else if (result instanceof Accepted accepted) {
      run.confirm();
      listener.stopExecuted(accepted.workerClock());
    } else if (result instanceof Refused refused && refused.refusal() == Refusal.STALE_ATTEMPT) {
      run.confirm();
    } else {
      LOG.info(LogLine.of("stop-retried").with("run", run.key()).with("result", result));
      loop.schedule(() -> retry(run), RETRY_DELAY_NANOS);
    }
  }

  private void retry(SideRun run) {
    if (listener.isCurrent(run)) {
      send(run);
    }
  }
}
