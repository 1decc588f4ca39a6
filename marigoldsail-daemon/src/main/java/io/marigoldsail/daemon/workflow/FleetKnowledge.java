package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.ImageEvidenceAggregator;
import io.marigoldsail.workflow.ImageInterference;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.StepSpec;
import io.marigoldsail.workflow.VmQuarantine;
import io.marigoldsail.workflow.VmSlowdownEstimator;
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

  private final VmQuarantine trust = new VmQuarantine();
  private final VmSlowdownEstimator speed = new VmSlowdownEstimator();
  private final ImageInterference harm = new ImageInterference();
  private final ImageEvidenceAggregator images = new ImageEvidenceAggregator();

  /** Takes how far a run is; what fills or lasts tells nothing of its VM's pace. */
  void progressed(OpenRun run, String vm, int percent, long now) {
    StepSpec step = run.task().step();
    boolean due = run.started(now, PACE_NANOS);
    if (due && !step.traits().bestEffort() && !step.traits().longRunning()) {
      double worked = step.estimateMillis() * Math.max(percent, 1) / 100.0;
      speed.addSample(vm, worked, TimeUnit.NANOSECONDS.toMillis(run.ranNanos(now)), now);
    }
  }

  /** Takes the end of a run. */
  void ended(OpenRun run, String vm, RunOutcome outcome, long now) {
    if (!outcome.completes() && !outcome.countsAsFailure()) {
      return;
    }
    boolean restedBefore = trust.isQuarantined(vm, now);
    trust.recordEnd(vm, outcome.countsAsFailure(), now);
    if (!restedBefore && trust.isQuarantined(vm, now)) {
      LOG.info(LogLine.of("vm-rests").with("vm", vm).with("reason", "what it starts fails"));
    }
    StepSpec step = run.task().step();
    if (outcome.completes() && !step.traits().bestEffort()) {
      double took = TimeUnit.NANOSECONDS.toMillis(now - run.orderedAt());
      speed.addSample(vm, step.estimateMillis(), took, now);
    }
  }

  /** Forgets what was learned of a VM whose worker is another one. */
  void renewed(String vm) {
    trust.reset(vm);
    speed.reset(vm);
  }

  /** Takes what a VM saw of images. */
  void imagesSeen(String vm, Map<String, ImageInterference.Evidence> seen) {
    images.update(vm, seen);
    harm.setRemoteEvidence(images.total());
  }

  /** Returns what all VMs but one saw of images. */
  Map<String, ImageInterference.Evidence> imagesSeenElsewhere(String vm) {
    return images.totalExcluding(vm);
  }

  double harmOf(String image) {
    return harm.belief(image);
  }

  /** Returns whether the task's image may disturb tasks that serve. */
  boolean isSuspect(WorkflowTask task) {
    return ImageInterference.isInterfering(harmOf(task.step().traits().image()));
  }

  boolean rests(String vm, long now) {
    return trust.isQuarantined(vm, now);
  }

  double slowness(String vm, long now) {
    return speed.slowdown(vm, now);
  }
}
