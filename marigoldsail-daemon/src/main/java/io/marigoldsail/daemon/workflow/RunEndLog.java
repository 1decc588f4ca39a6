package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.concurrent.TimeUnit;

/**
 * Logs runs on one worker that end with an outcome other than {@link RunOutcome#DONE}.
 *
 * <p>Refusals with the same reason are aggregated, since a full VM refuses many times a second and
 * the owner logs each refusal as {@code run-ended} with its reason. A run that may have executed is
 * always logged individually. Confined to the loop's thread.
 */
final class RunEndLog {
  private static final EventLog LOG = EventLog.of(RunEndLog.class);

  /** The reason of an end that the worker has listed. */
  static final String LISTED = "listed by the worker";

  /** How long refusals with the same reason are aggregated, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final String worker;
  private final AggregatingLog refusals;

  RunEndLog(LinkLoop loop, String worker) {
    this.worker = worker;
    this.refusals = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  void runEnded(RunKey run, RunOutcome outcome, String reason) {
    if (outcome == RunOutcome.DONE) {
      return;
    }
    LogLine line =
        LogLine.of("run-over")
            .with("run", run)
            .with("outcome", outcome)
            .with("reason", reason)
            .with("worker", worker);
    if (outcome.mayHaveRun()) {
      LOG.info(line);
    } else {
      refusals.log("refused: " + reason, line);
    }
  }
}
