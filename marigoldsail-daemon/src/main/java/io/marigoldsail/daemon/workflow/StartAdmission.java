package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.Urgency;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides whether a start order is passed to the worker. This is the final admission check: several
 * owners place runs on the same VM independently, each from its last, possibly stale report.
 * Confined to the loop's thread.
 */
final class StartAdmission {
  private final WorkerLease workerLease;
  private final ResourceLedger resources;
  private final RunThrottler throttler;

  StartAdmission(WorkerLease workerLease, ResourceLedger resources, RunThrottler throttler) {
    this.workerLease = requireNonNull(workerLease, "workerLease");
    this.resources = requireNonNull(resources, "resources");
    this.throttler = requireNonNull(throttler, "throttler");
  }

  /** Returns the resources that the ordered run declares. */
  static ResourceLedger.Claim claim(StartRun order) {
    return new ResourceLedger.Claim(
        WorkflowCodec.sizes(
            order.getMilliProcessors(), order.getMemoryMebibytes(), order.getAccelerators()),
        order.getFills(),
        order.getStarved() ? Urgency.STARVED : Urgency.ORDINARY);
  }

  /** Returns the number of runs with a latency target. */
  static int serviceTaskCount(Collection<SideRun> runs) {
    return (int) runs.stream().filter(run -> run.latencyTargetMillis() > 0).count();
  }

  /**
   * Returns whether some runs have unknown resource sizes, as runs found on the worker after a
   * restart have until their owner sends the order again.
   *
   * <p>Entries that do not own these runs would otherwise consider the VM idle and send it all
   * waiting tasks, only to be refused, while other VMs have free capacity.
   */
  static boolean hasUnknownSizes(Collection<SideRun> runs) {
    return runs.stream().anyMatch(run -> run.order().isEmpty());
  }

  /**
   * Reserves resources for the run, or returns the reason why it must not start.
   *
   * @param draining whether the worker accepts no new runs
   * @param runs all runs on the worker
   * @return the reason of the refusal; empty if the resources are reserved
   */
  Optional<String> reserveOrRefuse(
      RunKey key, int partition, StartRun order, boolean draining, Collection<SideRun> runs) {
    if (draining) {
      return Optional.of("the worker is draining");
    }
    if (!workerLease.mayStart(partition)) {
      return Optional.of("the ownership evidence for the partition is missing or too old");
    }
    if (hasUnknownSizes(runs)) {
      return Optional.of("the resource sizes of some runs on the worker are not known yet");
    }
    boolean limited = order.getFills() && !order.getStarved();
    if (limited && serviceTaskCount(runs) > 0 && exceedsInterferingLimit(order, runs)) {
      return Optional.of("there is no room for best-effort tasks beside the service tasks");
    }
    if (!resources.tryBook(key, claim(order))) {
      return Optional.of("insufficient capacity");
    }
    if (order.getFills()) {
      throttler.recordAdmitted(
          order.getImage(), order.getMilliProcessors(), resources.capacity().milliProcessors());
    }
    return Optional.empty();
  }

  private boolean exceedsInterferingLimit(StartRun order, Collection<SideRun> runs) {
    return !throttler.admits(
        runs, order.getImage(), order.getMilliProcessors(), resources.capacity().milliProcessors());
  }
}
