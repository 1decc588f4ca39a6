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
 * What an entry learns of the fleet from reports: which VMs fail what they start, which are slow,
 * and which images disturb services.
 *
 * <p>All of it is soft: a new owner learns it anew. Confined to the loop's thread.
 */
final class FleetKnowledge {
  private static final EventLog LOG = EventLog.of(FleetKnowledge.class);

  /** Between two looks at the pace of a run, in nanoseconds: reports come about as often. */
  private static final long PACE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final VmTrust trust = new VmTrust();
  private final VmSpeed speed = new VmSpeed();
  private final ImageHarm harm = new ImageHarm();
  private final ImageSums images = new ImageSums();

  /** Takes how far a run is; what fills or lasts tells nothing of its VM's pace. */
  void progressed(OpenRun run, String vm, int percent, long now) {
    StepSpec step = run.task().step();
    boolean due = run.started(now, PACE_NANOS);
    if (due && !step.nature().fills() && !step.nature().lasting()) {
      double worked = step.estimateMillis() * Math.max(percent, 1) / 100.0;
      speed.sample(vm, worked, TimeUnit.NANOSECONDS.toMillis(run.ranNanos(now)), now);
    }
  }

  /** Takes the end of a run. */
  void ended(OpenRun run, String vm, RunOutcome outcome, long now) {
    if (!outcome.completes() && !outcome.countsAsFailure()) {
      return;
    }
    boolean restedBefore = trust.rests(vm, now);
    trust.ended(vm, outcome.countsAsFailure(), now);
    if (!restedBefore && trust.rests(vm, now)) {
      LOG.info(LogLine.of("vm-rests").with("vm", vm).with("reason", "what it starts fails"));
    }
    StepSpec step = run.task().step();
    if (outcome.completes() && !step.nature().fills()) {
      double took = TimeUnit.NANOSECONDS.toMillis(now - run.orderedAt());
      speed.sample(vm, step.estimateMillis(), took, now);
    }
  }

  /** Forgets what was learned of a VM whose worker is another one. */
  void renewed(String vm) {
    trust.renewed(vm);
    speed.renewed(vm);
  }

  /** Takes what a VM saw of images. */
  void imagesSeen(String vm, Map<String, ImageHarm.Seen> seen) {
    images.saw(vm, seen);
    harm.others(images.all());
  }

  /** Returns what all VMs but one saw of images. */
  Map<String, ImageHarm.Seen> imagesSeenElsewhere(String vm) {
    return images.elsewhere(vm);
  }

  double harmOf(String image) {
    return harm.belief(image);
  }

  /** Returns whether the task's image may disturb tasks that serve. */
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
