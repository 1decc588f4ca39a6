package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;

/**
 * The starts that an earlier incarnation of this side process may have sent to the worker, and that
 * the worker may still execute: a call without a response may be executed seconds later.
 *
 * <p>Refusing such a start is not enough to keep the run from starting. A worker that keeps fences
 * ignores it since {@link WorkerGateway#takeOver}; this class does not rely on that. Confined to
 * the loop's thread.
 */
final class PredecessorOrders {
  private static final EventLog LOG = EventLog.of(PredecessorOrders.class);

  private final WorkerLease lease;
  private final boolean likely;

  /**
   * Creates the orders of the predecessor on the worker.
   *
   * @param first the first listing of this incarnation
   */
  PredecessorOrders(WorkerLease lease, Listing first) {
    this.lease = requireNonNull(lease, "lease");
    this.likely = !first.running().isEmpty() || !first.ended().isEmpty();
  }

  /**
   * Returns whether the start must be ignored for now, because the predecessor may have reported
   * the run as ended to a later owner of the partition.
   *
   * <p>Evidence from after the predecessor's death rules this out: a later owner has not reached
   * the predecessor then. The owner sends the start again with its next response to a report.
   */
  boolean mayBeOutdated(RunKey run, int partition, StartRun start) {
    boolean outdated = mayInclude(start) && !lease.hasEvidenceSinceFirstReading(partition);
    if (outdated) {
      LOG.info(
          LogLine.of("order-passed-over")
              .with("run", run)
              .with("reason", "no ownership evidence since the restart"));
    }
    return outdated;
  }

  /** Returns whether an earlier copy of the start may still be executed. */
  boolean mayInclude(StartRun start) {
    boolean mayHaveBeenSent =
        switch (start.getDelivery()) {
          case FIRST -> false;
          case REPEATED -> true;
          default -> likely;
        };
    return mayHaveBeenSent && lease.mayExecutePredecessorStarts();
  }
}
