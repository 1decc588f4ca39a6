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
final class FleetStatistics {
  private static final EventLog LOG = EventLog.of(FleetStatistics.class);

  /** Between two looks at the pace of a run, in nanoseconds: reports come about as often. */
  private static final long SPEED_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final VmQuarantine quarantine = new VmQuarantine();
  private final VmSlowdownEstimator speed = new VmSlowdownEstimator();
  private final ImageInterference interference = new ImageInterference();
  private final ImageEvidenceAggregator images = new ImageEvidenceAggregator();

  /** Takes how far a run is; what fills or lasts tells nothing of its VM's pace. */
  void recordProgress(OpenRun run, String vm, int percent, long now) {
    StepSpec step = run.task().step();
    boolean due = run.recordRunning(now, SPEED_SAMPLE_NANOS);
    if (due && !step.traits().bestEffort() && !step.traits().longRunning()) {
      double worked = step.estimateMillis() * Math.max(percent, 1) / 100.0;
      speed.addSample(vm, worked, TimeUnit.NANOSECONDS.toMillis(run.runningNanos(now)), now);
    }
  }

  /** Takes the end of a run. */
  void recordEnd(OpenRun run, String vm, RunOutcome outcome, long now) {
    if (!outcome.completes() && !outcome.countsAsFailure()) {
      return;
    }
    boolean restedBefore = quarantine.isQuarantined(vm, now);
    quarantine.recordEnd(vm, outcome.countsAsFailure(), now);
    if (!restedBefore && quarantine.isQuarantined(vm, now)) {
      LOG.info(LogLine.of("vm-rests").with("vm", vm).with("reason", "what it starts fails"));
    }
    StepSpec step = run.task().step();
    if (outcome.completes() && !step.traits().bestEffort()) {
      double took = TimeUnit.NANOSECONDS.toMillis(now - run.orderedAt());
      speed.addSample(vm, step.estimateMillis(), took, now);
    }
  }

  /** Forgets what was learned of a VM whose worker is another one. */
  void reset(String vm) {
    quarantine.reset(vm);
    speed.reset(vm);
  }

  /** Takes what a VM saw of images. */
  void recordImages(String vm, Map<String, ImageInterference.Evidence> seen) {
    images.update(vm, seen);
    interference.setRemoteEvidence(images.total());
  }

  /** Returns what all VMs but one saw of images. */
  Map<String, ImageInterference.Evidence> imagesOfOtherVms(String vm) {
    return images.totalExcluding(vm);
  }

  double interferenceOf(String image) {
    return interference.belief(image);
  }

  /** Returns whether the task's image may disturb tasks that serve. */
  boolean isInterfering(WorkflowTask task) {
    return ImageInterference.isInterfering(interferenceOf(task.step().traits().image()));
  }

  boolean isQuarantined(String vm, long now) {
    return quarantine.isQuarantined(vm, now);
  }

  double slowness(String vm, long now) {
    return speed.slowdown(vm, now);
  }
}
