package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.RunKey;
import java.util.Optional;

/**
 * Decides which of the ends that their owners have made durable the worker may discard.
 *
 * <p>An owner that does not reach the VM for the takeover time considers its runs as lost and
 * orders other attempts. If the worker discarded the end of the first attempt after that, the task
 * would run again after a recorded end. Such an end is withheld: the worker keeps it until its
 * lease has expired, after which it counts as never recorded. Confined to the loop's thread.
 */
final class EndRetention {
  private static final EventLog LOG = EventLog.of(EndRetention.class);

  /** Number of ends kept because of withheld ones at which the worker's lease must expire. */
  static final int MAX_KEPT_ENDS = WorkerGateway.MAX_LISTED_ENDS / 2;

  private final String worker;
  private final WorkerLease lease;
  private final UnacknowledgedEnds ends;

  EndRetention(String worker, WorkerLease lease, UnacknowledgedEnds ends) {
    this.worker = requireNonNull(worker, "worker");
    this.lease = requireNonNull(lease, "lease");
    this.ends = requireNonNull(ends, "ends");
  }

  /**
   * Returns whether the end at the sequence number is the one that is kept for the run.
   *
   * <p>An owner may respond to an end that the worker does not list, such as that of a forgotten
   * run, after the worker has listed another end of the run.
   */
  boolean isCurrent(RunKey run, long sequence) {
    return ends.find(run).filter(end -> end.report().getSequence() == sequence).isPresent();
  }

  /** Drops or withholds the end of a run of the partition; does nothing if it is not present. */
  void acknowledge(RunKey run, int partition) {
    Optional<UnacknowledgedEnds.End> end = ends.find(run);
    if (end.isPresent() && lease.mayHaveTakenOver(partition, end.get().orderedAt())) {
      supersede(run);
    } else {
      ends.acknowledge(run);
    }
  }

  /**
   * Like {@link #acknowledge}, of an owner that calls completions superseded where they are. Its
   * record does not tell of each failure whether it was counted.
   */
  void settle(RunKey run, int partition) {
    if (ends.find(run).filter(end -> end.outcome().completes()).isPresent()) {
      ends.acknowledge(run);
    } else {
      acknowledge(run, partition);
    }
  }

  /**
   * Withholds the end of a run after which another attempt may have been ordered; drops the end if
   * it limits no attempt, or if the lease has expired since.
   */
  void supersede(RunKey run) {
    if (ends.find(run).filter(this::mustBeKept).isPresent()) {
      withhold(run);
    } else {
      ends.acknowledge(run);
    }
  }

  private boolean mustBeKept(UnacknowledgedEnds.End end) {
    return end.outcome().limitsAttempts() && !lease.hasLapsedSince(end.orderedAt());
  }

  private void withhold(RunKey run) {
    ends.withhold(run);
    LOG.warning(
        LogLine.of("end-withheld")
            .with("run", run)
            .with("worker", worker)
            .with("kept_ends", ends.keptCount())
            .with("reason", "its owner may have ordered another attempt"));
  }

  /** Releases the withheld ends of runs that the expiry of the lease has ended. */
  void releaseAfterExpiry() {
    for (RunKey released : ends.releaseWithheld(lease::hasLapsedSince)) {
      LOG.info(
          LogLine.of("end-released")
              .with("run", released)
              .with("worker", worker)
              .with("reason", "the worker's lease has expired"));
    }
  }

  /**
   * Returns whether the worker's lease must expire. A listing has room for a limited number of
   * ends; beyond it, ends of other runs would not be listed, and their tasks would count as active
   * forever.
   */
  boolean mustLeaseExpire() {
    return ends.keptCount() >= MAX_KEPT_ENDS;
  }
}
