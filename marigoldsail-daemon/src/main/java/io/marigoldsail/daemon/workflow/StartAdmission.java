package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RoomLedger;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.SuspectRoom;
import io.marigoldsail.workflow.Urgency;
import java.util.Collection;
import java.util.Optional;

/**
 * Decides whether a start order is passed to the worker. This is the final admission check: several
 * owners place runs on the same VM independently, each from its last, possibly stale report.
 * Confined to the loop's thread.
 */
final class StartAdmission {
  private final WorkerTime time;
  private final RoomLedger room;
  private final RunPacing pacing;

  StartAdmission(WorkerTime time, RoomLedger room, RunPacing pacing) {
    this.time = requireNonNull(time, "time");
    this.room = requireNonNull(room, "room");
    this.pacing = requireNonNull(pacing, "pacing");
  }

  /** Returns the resources that the ordered run declares. */
  static RoomLedger.Claim claim(StartRun order) {
    return new RoomLedger.Claim(
        WorkflowRecords.sizes(
            order.getMilliProcessors(), order.getMemoryMebibytes(), order.getAccelerators()),
        order.getFills(),
        order.getStarved() ? Urgency.STARVED : Urgency.ORDINARY);
  }

  /** Returns the number of runs with a latency target. */
  static int serving(Collection<SideRun> runs) {
    return (int) runs.stream().filter(run -> run.latencyTargetMillis() > 0).count();
  }

  /**
   * Returns whether some runs have unknown resource sizes, as runs found on the worker after a
   * restart have until their owner sends the order again.
   */
  static boolean isAnyUnknown(Collection<SideRun> runs) {
    return runs.stream().anyMatch(run -> run.order().isEmpty());
  }

  /**
   * Reserves resources for the run, or returns the reason why it must not start.
   *
   * @param draining whether the worker accepts no new runs
   * @param runs all runs on the worker
   * @return the reason of the refusal; empty if the resources are reserved
   */
  Optional<String> refusal(
      RunKey key, int partition, StartRun order, boolean draining, Collection<SideRun> runs) {
    if (draining) {
      return Optional.of("the worker is draining");
    }
    if (!time.mayStart(partition)) {
      return Optional.of("the owner's ownership evidence is too old");
    }
    if (isAnyUnknown(runs)) {
      return Optional.of("the resource sizes of some runs on the worker are not known yet");
    }
    boolean bound = order.getFills() && !order.getStarved();
    if (bound && serving(runs) > 0 && isTooMuchBeside(order, runs)) {
      return Optional.of("the limit of interfering tasks beside service tasks is reached");
    }
    return room.tryBook(key, claim(order)) ? Optional.empty() : Optional.of("insufficient capacity");
  }

  private boolean isTooMuchBeside(StartRun order, Collection<SideRun> runs) {
    return pacing.isSuspect(order.getImage())
        && !SuspectRoom.admits(
            room.capacity().milliProcessors(),
            pacing.suspectMilliProcessors(runs),
            order.getMilliProcessors());
  }
}
