package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.protocol.StartRun;

/**
 * The starts that an earlier incarnation of this side process may have sent to the worker, and that
 * the worker may still execute: a call without a response may be executed seconds later.
 *
 * <p>Refusing such a start is not enough to keep the run from starting. Confined to the loop's
 * thread.
 */
final class PredecessorOrders {
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
