package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides when the VM of an ended run is told that its owner has noted the end.
 *
 * <p>Confined to the loop's thread.
 */
final class RunEndAcknowledger {
  private static final EventLog LOG = EventLog.of(RunEndAcknowledger.class);

  /** How long ends that are unknown in the same partition are gathered, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final AggregatingLog unknownEnds;

  RunEndAcknowledger(LinkLoop loop) {
    this.loop = requireNonNull(loop, "loop");
    this.unknownEnds = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  /**
   * Runs the note once it may be told.
   *
   * <p>Takes also an end that was told before: what it changed may not be durable yet. A run of
   * which the partition's records say nothing may be one that a later owner has ordered, so it is
   * noted only after an append has shown that there is none. The end of a run that still counts as
   * open is not noted.
   *
   * @param partition the run's partition, which this process takes for its own
   * @param vm the VM that reports the end
   */
  void acknowledgeWhenSafe(OwnedPartition partition, RunKey run, String vm, Runnable note) {
    Optional<WorkflowTask> task =
        partition
            .workflow(run.task().workflow())
            .flatMap(workflow -> workflow.task(run.task()))
            .filter(known -> known.lastAttempt() >= run.attempt());
    if (task.isEmpty()) {
      logUnknownEnd(partition, run, vm);
      partition.writer().afterRenewal(note);
    } else if (task.get().hasEnded(run.attempt())) {
      partition.writer().afterDurable(note);
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
    PartitionWriter writer = partition.writer();
    long evidenceNanos = loop.now() - writer.evidenceAt();
    unknownEnds.log(
        "partition " + partition.number(),
        LogLine.of("end-unknown")
            .with("run", run)
            .with("vm", vm)
            .with("partition", partition.number())
            .with("epoch", partition.epoch())
            .with("evidence_ms", TimeUnit.NANOSECONDS.toMillis(evidenceNanos)));
  }
}
