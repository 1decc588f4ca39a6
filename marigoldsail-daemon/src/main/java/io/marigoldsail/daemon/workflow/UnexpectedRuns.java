package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.Workflow;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Stops runs that VMs report and that are not the open attempts of their tasks.
 *
 * <p>A run of an unknown workflow is left alone while its submission may be unread. While the owner
 * does not read the store, a run of a known workflow is stopped only once an append has shown that
 * no successor has ordered it. Confined to the loop's thread.
 */
final class UnexpectedRuns {
  private record PendingStop(int partition, RunKey run) {}

  private final OwnerOrderLog orderLog;
  private final Runnable onStopAdded;

  /** Stops that wait for an append. */
  private final Set<PendingStop> pending = new HashSet<>();

  /**
   * Creates a tracker without pending stops.
   *
   * @param onStopAdded runs after a stop was added to a session's next frame
   */
  UnexpectedRuns(OwnerOrderLog orderLog, Runnable onStopAdded) {
    this.orderLog = requireNonNull(orderLog, "orderLog");
    this.onStopAdded = requireNonNull(onStopAdded, "onStopAdded");
  }

  /** Stops the run on the VM of the session, now or later, or leaves it alone. */
  void handle(VmSession session, RunKey run, OwnedPartition partition) {
    Optional<Workflow> workflow = partition.workflow(run.task().workflow());
    if (partition.hasGangCompleted(run)) {
      return;
    }
    if (partition.isCaughtUp()) {
      stop(session, run, partition, workflow);
    } else if (workflow.isEmpty()) {
      orderLog.unexpectedRunLeft(run, session, partition);
    } else {
      stopAfterRenewal(session, run, partition, workflow);
    }
  }

  private void stop(
      VmSession session, RunKey run, OwnedPartition partition, Optional<Workflow> workflow) {
    orderLog.unexpectedRunStopped(run, session, partition, workflow);
    session.addStop(run);
    onStopAdded.run();
  }

  private void stopAfterRenewal(
      VmSession session, RunKey run, OwnedPartition partition, Optional<Workflow> workflow) {
    PendingStop stop = new PendingStop(partition.number(), run);
    if (pending.add(stop)) {
      partition
          .writer()
          .afterRenewal(
              () -> {
                pending.remove(stop);
                stop(session, run, partition, workflow);
              });
    }
  }

  /** Drops the stops that wait for an append to the partition. */
  void partitionLost(OwnedPartition partition) {
    pending.removeIf(stop -> stop.partition() == partition.number());
  }
}
