package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.Workflow;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Logs what an owner sends for a run after its first start: stops, and starts that are repeated.
 *
 * <p>An owner sends a stop of a run again at an interval at most, and a start only after a report
 * that lacks the run. Confined to the loop's thread.
 */
final class OwnerOrderLog {
  private static final EventLog LOG = EventLog.of(OwnerOrderLog.class);

  /** How long lines on runs of unknown workflows are aggregated, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final AggregatingLog unknownRuns;

  OwnerOrderLog(LinkLoop loop) {
    this.loop = requireNonNull(loop, "loop");
    this.unknownRuns = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  /** A stop is sent; the side process has a start of the run unless none was ever sent. */
  void stopSent(OpenRun run, VmSession session) {
    LOG.info(
        line("stop-sent", run)
            .with("worker", session.report().getWorker())
            .with("status", run.task().workflow().status())
            .with("may_have_started", run.mayHaveBeenOrdered())
            .with("stops", run.stopsSent()));
  }

  /** A stop is due, but the VM is not connected; it is sent after the VM's next report. */
  void stopDeferred(OpenRun run) {
    LOG.info(line("stop-deferred", run).with("status", run.task().workflow().status()));
  }

  /** A start is sent; logged unless it is the first one, which the scheduler logs as ordered. */
  void startSent(OpenRun run, VmSession session) {
    if (run.mayHaveBeenOrdered()) {
      LOG.info(
          line("start-repeated", run)
              .with("worker", session.report().getWorker())
              .with("reported", session.run(run.key()).isPresent()));
    }
  }

  private LogLine line(String event, OpenRun run) {
    return LogLine.of(event)
        .with("run", run.key())
        .with("vm", run.place().vm())
        .with("epoch", run.partition().epoch())
        .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - run.orderedAt()));
  }

  /** A VM reports a run that is not the open attempt of its task; it is told to stop it. */
  void unexpectedRunStopped(
      RunKey run, VmSession session, OwnedPartition partition, Optional<Workflow> workflow) {
    LOG.info(unexpected(run, session, partition, workflow));
  }

  /** A VM reports a run of a workflow that may not be read yet; it is left alone for now. */
  void unexpectedRunLeft(RunKey run, VmSession session, OwnedPartition partition) {
    unknownRuns.log(
        "partition " + partition.number(),
        unexpected(run, session, partition, Optional.empty()).with("left", "submissions unread"));
  }

  private static LogLine unexpected(
      RunKey run, VmSession session, OwnedPartition partition, Optional<Workflow> workflow) {
    return LogLine.of("run-unexpected")
        .with("run", run)
        .with("vm", session.vm())
        .with("worker", session.report().getWorker())
        .with("partition", partition.number())
        .with("epoch", partition.epoch())
        .with("status", workflow.map(each -> each.status().toString()).orElse("unknown"));
  }
}
