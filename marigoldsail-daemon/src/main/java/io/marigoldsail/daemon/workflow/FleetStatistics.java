package io.marigoldsail.daemon.workflow;

import io.marigoldsail.colocation.ImageEffects;
import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.InterferenceModel;
import io.marigoldsail.colocation.PairEvidence;
import io.marigoldsail.colocation.PairEvidenceAggregator;
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
 * Statistics of the fleet, learned from reports: VMs on which runs fail, slow VMs, and the
 * interference of images with service tasks.
 *
 * <p>Not durable: a new owner learns it again. Confined to the loop's thread.
 */
final class FleetStatistics {
  private static final EventLog LOG = EventLog.of(FleetStatistics.class);

  /** Interval of speed samples of a run, in nanoseconds; about that of reports. */
  private static final long SPEED_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final VmQuarantine quarantine = new VmQuarantine();
  private final VmSlowdownEstimator slowdowns = new VmSlowdownEstimator();
  private final ImageInterference interference = new ImageInterference();
  private final ImageEvidenceAggregator imageEvidence = new ImageEvidenceAggregator();
  private final PairEvidenceAggregator pairEvidence = new PairEvidenceAggregator();
  private final InterferenceModel pairs = new InterferenceModel();

  /**
   * Records the progress of a run. Best-effort and long-running runs are ignored: their progress
   * says nothing about the speed of the VM.
   *
   * @param percent progress of the run
   * @param now the loop's nanoseconds
   */
  void recordProgress(OpenRun run, String vm, int percent, long now) {
    StepSpec step = run.task().step();
    boolean due = run.recordRunning(now, SPEED_SAMPLE_NANOS);
    if (due && !step.traits().bestEffort() && !step.traits().longRunning()) {
      double workedMillis = step.estimateMillis() * Math.max(percent, 1) / 100.0;
      slowdowns.addSample(
          vm, workedMillis, TimeUnit.NANOSECONDS.toMillis(run.runningNanos(now)), now);
    }
  }

  /** Records the end of a run; ignores outcomes that neither complete it nor count as a failure. */
  void recordEnd(OpenRun run, String vm, RunOutcome outcome, long now) {
    if (!outcome.completes() && !outcome.countsAsFailure()) {
      return;
    }
    boolean wasQuarantined = quarantine.isQuarantined(vm, now);
    quarantine.recordEnd(vm, outcome.countsAsFailure(), now);
    if (!wasQuarantined && quarantine.isQuarantined(vm, now)) {
      LOG.info(LogLine.of("vm-rests").with("vm", vm).with("reason", "runs on the VM keep failing"));
    }
    StepSpec step = run.task().step();
    if (outcome.completes() && !step.traits().bestEffort()) {
      double tookMillis = TimeUnit.NANOSECONDS.toMillis(now - run.orderedAt());
      slowdowns.addSample(vm, step.estimateMillis(), tookMillis, now);
    }
  }

  /** Drops the statistics of a VM that has a new worker. */
  void reset(String vm) {
    quarantine.reset(vm);
    slowdowns.reset(vm);
  }

  /** Replaces the interference evidence of images from a VM. */
  void recordImageEvidence(String vm, Map<String, ImageInterference.Evidence> evidence) {
    imageEvidence.update(vm, evidence);
    interference.setRemoteEvidence(imageEvidence.total());
  }

  /** Returns the interference evidence of images from all other VMs. */
  Map<String, ImageInterference.Evidence> imageEvidenceOfOtherVms(String vm) {
    return imageEvidence.totalExcluding(vm);
  }

  /** Replaces the evidence on pairs of images from a VM. */
  void recordPairEvidence(String vm, Map<ImagePair, PairEvidence> evidence, long now) {
    if (pairEvidence.update(vm, evidence, now)) {
      pairs.setRemoteEvidence(pairEvidence.total());
    }
  }

  /** Returns the evidence of all VMs on pairs of images, as of some time ago. */
  Map<ImagePair, PairEvidence> pairEvidence() {
    return pairEvidence.total();
  }

  /** Returns the estimated effects of best-effort images on service images, as a live view. */
  ImageEffects effects() {
    return pairs;
  }

  /** Returns the estimated interference of the image with service tasks, from 0 to 1. */
  double interferenceOf(String image) {
    return interference.belief(image);
  }

  /** Returns whether the task's image may interfere with service tasks. */
  boolean isInterfering(WorkflowTask task) {
    return ImageInterference.isInterfering(interferenceOf(task.step().traits().image()));
  }

  boolean isQuarantined(String vm, long now) {
    return quarantine.isQuarantined(vm, now);
  }

  /** Returns the slowdown factor of the VM against the others; 1 if it is not slow. */
  double slowdown(String vm, long now) {
    return slowdowns.slowdown(vm, now);
  }
}
