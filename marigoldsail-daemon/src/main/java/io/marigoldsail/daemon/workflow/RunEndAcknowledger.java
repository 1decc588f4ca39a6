package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the end of a run may be acknowledged to the VM that reports it.
 *
 * <p>Confined to the loop's thread.
 */
final class RunEndAcknowledger {
  private static final EventLog LOG = EventLog.of(RunEndAcknowledger.class);

  /** Time over which log lines on unknown ends in one partition are aggregated, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final AggregatingLog unknownEnds;

  RunEndAcknowledger(LinkLoop loop) {
    this.loop = requireNonNull(loop, "loop");
    this.unknownEnds = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  /**
   * Responds to a reported end once that is safe: acknowledges it, or tells the VM that it is
   * superseded, so that its worker must not discard it while another attempt may have started.
   *
   * @param partition the run's partition, of which this process considers itself the owner
   * @param session the VM that reports the end
   * @param flush sends what was added to the session; runs on the loop
   */
  void respondWhenSafe(OwnedPartition partition, VmSession session, EndReport end, Runnable flush) {
    RunKey run = WorkflowIdCodec.decode(end.getTask());
    RunOutcome outcome = WorkflowCodec.outcome(end);
    boolean superseded =
        partition
            .task(run.task())
            .filter(task -> task.isSuperseded(run.attempt(), outcome))
            .isPresent();
    if (!superseded) {
      acknowledgeWhenSafe(
          partition,
          run,
          session.vm(),
          () -> {
            session.addAcknowledgedEnd(end.getTask());
            flush.run();
          });
      return;
    }
    LOG.warning(
        LogLine.of("end-superseded")
            .with("run", run)
            .with("vm", session.vm())
            .with("outcome", outcome)
            .with("partition", partition.number()));
    // A later owner may have recorded the end; the VM must not withhold it from that owner.
    partition
        .writer()
        .afterRenewal(
            () -> {
              session.addSupersededEnd(end.getTask());
              flush.run();
            });
  }

  /**
   * Runs the acknowledgement once the end is durable; never runs it for a run that is still open.
   *
   * <p>May be called again for the same end, whose state change may not be durable yet: the worker
   * reports an end until it is acknowledged, also one whose record the store does not take. A run
   * without a record in the partition may have been ordered by a later owner, so its end is
   * acknowledged only after an append has proven that there is no later owner.
   *
   * @param partition the run's partition, of which this process considers itself the owner
   * @param vm the VM that reports the end
   * @param acknowledgement sends the acknowledgement; runs on the loop
   */
  void acknowledgeWhenSafe(
      OwnedPartition partition, RunKey run, String vm, Runnable acknowledgement) {
    Optional<WorkflowTask> task =
        partition.task(run.task()).filter(found -> found.lastAttempt() >= run.attempt());
    if (task.isEmpty()) {
      logUnknownEnd(partition, run, vm);
      partition.writer().afterRenewal(acknowledgement);
    } else if (task.get().hasEnded(run.attempt())) {
      partition
          .writer()
          .afterDurable(
              () -> {
                if (partition.isDurable(run.task())) {
                  acknowledgement.run();
                }
              });
    } else {
      LOG.error(
          LogLine.of("end-not-taken")
              .with("run", run)
              .with("vm", vm)
              .with("partition", partition.number())
              .with("place", task.get().place().orElseThrow()));
    }
  }

  private void logUnknownEnd(OwnedPartition partition, RunKey run, String vm) {
    unknownEnds.log(
        "partition " + partition.number(),
        LogLine.of("end-unknown")
            .with("run", run)
            .with("vm", vm)
            .with("partition", partition.number())
            .with("epoch", partition.epoch())
            .with("evidence_ms", partition.evidenceAge()));
  }
}
