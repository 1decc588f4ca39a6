package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.concurrent.TimeUnit;

/**
 * Tells of the runs that end on one worker otherwise than done.
 *
 * <p>Refusals with the same reason are folded: a full VM refuses many times a second, and each
 * refusal stands in its owner's log as {@code run-ended} with the reason. A run that may have
 * worked is always told by itself. Confined to the loop's thread.
 */
final class RunEndLog {
  private static final EventLog LOG = EventLog.of(RunEndLog.class);

  /** How long refusals with the same reason are gathered, in nanoseconds. */
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
