package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.InterferenceBudget;
import io.marigoldsail.workflow.ResourceLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.Urgency;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides whether one worker is given an order to start: the last word after owners that placed by
 * what they heard last, each without the others. Confined to the loop's thread.
 */
final class StartAdmission {
  private final WorkerLease workerLease;
  private final ResourceLedger resources;
  private final RunThrottler throttler;

  StartAdmission(WorkerLease time, ResourceLedger room, RunThrottler pacing) {
    this.workerLease = requireNonNull(time, "time");
    this.resources = requireNonNull(room, "room");
    this.throttler = requireNonNull(pacing, "pacing");
  }

  /** Returns what the ordered run takes. */
  static ResourceLedger.Claim claim(StartRun order) {
    return new ResourceLedger.Claim(
        WorkflowCodec.sizes(
            order.getMilliProcessors(), order.getMemoryMebibytes(), order.getAccelerators()),
        order.getFills(),
        order.getStarved() ? Urgency.STARVED : Urgency.ORDINARY);
  }

  /** Returns how many of the runs have a latency target. */
  static int serviceTaskCount(Collection<SideRun> runs) {
    return (int) runs.stream().filter(run -> run.latencyTargetMillis() > 0).count();
  }

  /** Returns whether there are runs of which only their owners know what they take. */
  static boolean hasUnknownSizes(Collection<SideRun> runs) {
    return runs.stream().anyMatch(run -> run.order().isEmpty());
  }

  /**
   * Books room for the run, or returns why it must not start.
   *
   * @param draining whether the worker takes nothing new
   * @param runs all that is on the worker
   */
  Optional<String> reserveOrRefuse(
      RunKey key, int partition, StartRun order, boolean draining, Collection<SideRun> runs) {
    if (draining) {
      return Optional.of("the worker leaves");
    }
    if (!workerLease.mayStart(partition)) {
      return Optional.of("the evidence of its owner is too old");
    }
    if (hasUnknownSizes(runs)) {
      return Optional.of("what runs here is not known yet");
    }
    boolean bound = order.getFills() && !order.getStarved();
    if (bound && serviceTaskCount(runs) > 0 && exceedsInterferingLimit(order, runs)) {
      return Optional.of("no room beside services");
    }
    return resources.tryBook(key, claim(order)) ? Optional.empty() : Optional.of("no room");
  }

  private boolean exceedsInterferingLimit(StartRun order, Collection<SideRun> runs) {
    return throttler.isInterfering(order.getImage())
        && !InterferenceBudget.admits(
            resources.capacity().milliProcessors(),
            throttler.interferingMilliProcessors(runs),
            order.getMilliProcessors());
  }
}
