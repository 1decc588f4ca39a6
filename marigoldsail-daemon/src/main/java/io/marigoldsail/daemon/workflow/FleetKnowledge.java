package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.ImageHarm;
import io.marigoldsail.workflow.ImageSums;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.VmSpeed;
import io.marigoldsail.workflow.VmTrust;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Statistics of the fleet, learned from reports: VMs on which runs fail, slow VMs, and the
 * interference of images with service tasks.
 *
 * <p>Not durable: a new owner learns it again. Confined to the loop's thread.
 */
final class FleetKnowledge {
  private static final EventLog LOG = EventLog.of(FleetKnowledge.class);

  /** Interval of speed samples of a run, in nanoseconds; about that of reports. */
  private static final long PACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final VmTrust trust = new VmTrust();
  private final VmSpeed speed = new VmSpeed();
  private final ImageHarm harm = new ImageHarm();
  private final ImageSums images = new ImageSums();

  /**
   * Records the progress of a run. Best-effort and long-running runs are ignored: their progress
   * says nothing about the speed of the VM.
   *
   * @param percent progress of the run
   * @param now the loop's nanoseconds
   */
  void progressed(OpenRun run, String vm, int percent, long now) {
    StepSpec step = run.task().step();
    boolean due = run.started(now, PACE_NANOS);
    if (due && !step.nature().fills() && !step.nature().lasting()) {
      double workedMillis = step.estimateMillis() * Math.max(percent, 1) / 100.0;
      speed.sample(vm, workedMillis, TimeUnit.NANOSECONDS.toMillis(run.ranNanos(now)), now);
    }
  }

  /** Records the end of a run; ignores outcomes that neither complete it nor count as a failure. */
  void ended(OpenRun run, String vm, RunOutcome outcome, long now) {
    if (!outcome.completes() && !outcome.countsAsFailure()) {
      return;
    }
    boolean wasQuarantined = trust.rests(vm, now);
    trust.ended(vm, outcome.countsAsFailure(), now);
    if (!wasQuarantined && trust.rests(vm, now)) {
      LOG.info(LogLine.of("vm-rests").with("vm", vm).with("reason", "runs on the VM keep failing"));
    }
    StepSpec step = run.task().step();
    if (outcome.completes() && !step.nature().fills()) {
      double tookMillis = TimeUnit.NANOSECONDS.toMillis(now - run.orderedAt());
      speed.sample(vm, step.estimateMillis(), tookMillis, now);
    }
  }

  /** Drops the statistics of a VM that has a new worker. */
  void renewed(String vm) {
    trust.renewed(vm);
    speed.renewed(vm);
  }

  /** Replaces the image observations of a VM. */
  void imagesSeen(String vm, Map<String, ImageHarm.Seen> seen) {
    images.saw(vm, seen);
    harm.others(images.all());
  }

  /** Returns the image observations of all other VMs. */
  Map<String, ImageHarm.Seen> imagesSeenElsewhere(String vm) {
    return images.elsewhere(vm);
  }

  double harmOf(String image) {
    return harm.belief(image);
  }

  /** Returns whether the task's image may interfere with service tasks. */
  boolean isSuspect(WorkflowTask task) {
    return ImageHarm.isSuspect(harmOf(task.step().nature().image()));
  }

  boolean rests(String vm, long now) {
    return trust.rests(vm, now);
  }

  double slowness(String vm, long now) {
    return speed.slowness(vm, now);
  }
}
