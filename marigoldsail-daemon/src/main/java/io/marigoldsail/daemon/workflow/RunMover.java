package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Stops runs that should run elsewhere: on draining workers, beside services that they crowd, or on
 * VMs that throttle them.
 *
 * <p>Confined to the loop's thread.
 */
final class RunMover {
  private static final EventLog LOG = EventLog.of(RunMover.class);

  /** Best-effort runs throttled to this share of their speed or less are moved, in percent. */
  private static final int THROTTLED_PERCENT = 25;

  /** A run without checkpoints may be restarted up to this progress, in percent. */
  private static final int CHEAP_RESTART_PERCENT = 25;

  /** Chooses the VM on which the next attempt of a task would run. */
  interface Chooser {
    /** Returns the best of the offers for the task, or empty if none admits it. */
    Optional<VmOffer> choose(WorkflowTask task, Collection<VmOffer> offers);
  }

  private final VmTracker vms;
  private final Chooser chooser;

  RunMover(VmTracker vms, Chooser chooser) {
    this.vms = requireNonNull(vms, "vms");
    this.chooser = requireNonNull(chooser, "chooser");
  }

  /**
   * Moves runs off VMs whose workers drain, whose service tasks share the VM with too many
   * interfering runs, or on which the runs are throttled; runs whose restart would lose too much
   * work stay.
   */
  void moveRuns() {
    for (OpenRun run : vms.view().runsOnDrainingVms()) {
      boolean movable =
          run.task().step().traits().longRunning() || run.task().step().traits().checkpointable();
      if (movable) {
        move(run, "worker is draining");
      }
    }
    for (OpenRun run : vms.view().excessRuns()) {
      if (isCheapToMove(run.task())) {
        move(run, "the service tasks beside it leave it too little");
      }
    }
    moveThrottled(vms.view().runsThrottledTo(THROTTLED_PERCENT));
  }

  private void moveThrottled(List<OpenRun> throttled) {
    if (throttled.isEmpty()) {
      return;
    }
    List<VmOffer> withoutServices = new ArrayList<>();
    vms.offers().stream().filter(offer -> offer.serviceTasks() == 0).forEach(withoutServices::add);
    for (OpenRun run : throttled) {
      WorkflowTask task = run.task();
      Optional<VmOffer> better =
          isCheapToStop(task) ? chooser.choose(task, withoutServices) : Optional.empty();
      if (better.isPresent() && move(run, "throttled beside service tasks")) {
        withoutServices.remove(better.get());
        withoutServices.add(vms.view().offerAfter(better.get(), task));
      }
    }
  }

  /** Returns false also for the only run of a workflow, which would make no progress without it. */
  private static boolean isCheapToMove(WorkflowTask task) {
    return task.workflow().openTasks().size() > 1 && isCheapToStop(task);
  }

  private static boolean isCheapToStop(WorkflowTask task) {
    return task.step().traits().checkpointable() || task.percent() <= CHEAP_RESTART_PERCENT;
  }

  private boolean move(OpenRun run, String reason) {
    WorkflowTask task = run.task();
    if (!run.isOpen() || !run.isDurable() || !task.isStarted() || run.shouldStop()) {
      return false;
    }
    task.requestStop();
    LOG.info(LogLine.of("run-moved").with("run", run.key()).with("reason", reason));
    vms.stopUnwanted(task.workflow());
    return true;
  }
}
