package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.AggregatingLog;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.workflow.BestEffortThrottler;
import io.marigoldsail.workflow.ImageInterference;
import io.marigoldsail.workflow.InterferenceBudget;
import io.marigoldsail.workflow.Overcommit;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Throttles the best-effort runs of one worker as {@link BestEffortThrottler} decides. Confined to
 * the loop's thread.
 */
final class RunThrottler {
  private static final EventLog LOG = EventLog.of(RunThrottler.class);

  /** Interval between two log lines about the load of a worker, in nanoseconds. */
  private static final long LOAD_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long changes of the CPU share are aggregated into one log line, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Overcommit overcommit;
  private final BestEffortThrottler bestEffortThrottler = new BestEffortThrottler();
  private final ImageInterference interference = new ImageInterference();
  private final Map<String, Boolean> loggedAsInterfering = new HashMap<>();
  private final AggregatingLog throttleLog;
  private long loggedAt = Long.MIN_VALUE;

  RunThrottler(LinkLoop loop, WorkerGateway gateway, String worker, Overcommit overcommit) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
    this.overcommit = requireNonNull(overcommit, "overcommit");
    this.throttleLog = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  /** Returns the CPU share that an interfering run gets, 0 to 100 percent. */
  int interferingPercent() {
    return bestEffortThrottler.interferingPercent();
  }

  /** Returns whether the image is believed to interfere with service tasks. */
  boolean isInterfering(String image) {
    return ImageInterference.isInterfering(interference.belief(image));
  }

  /** Returns the declared processors of the interfering runs, in thousandths of a processor. */
  long interferingMilliProcessors(Collection<SideRun> runs) {
    return interferingRuns(runs).stream().mapToLong(SideRun::milliProcessors).sum();
  }

  private List<SideRun> interferingRuns(Collection<SideRun> runs) {
    return runs.stream().filter(run -> run.isBestEffort() && isInterfering(run.image())).toList();
  }

  /**
   * Marks the interfering runs that exceed the limit for VMs with service tasks, so that their
   * owners move them.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   * @param hasServiceTasks whether service tasks run on the VM
   */
  private void markExcessRuns(
      Collection<SideRun> runs, long capacityMilli, boolean hasServiceTasks) {
    runs.forEach(run -> run.excess(false));
    if (!hasServiceTasks) {
      return;
    }
    List<SideRun> interfering = interferingRuns(runs);
    List<Long> declared = interfering.stream().map(SideRun::milliProcessors).toList();
    InterferenceBudget.excess(capacityMilli, declared)
        .forEach(position -> interfering.get(position).excess(true));
  }

  /**
   * Applies the measurements of the newest listing; returns whether the CPU share of interfering
   * runs changed.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   */
  boolean observe(Collection<SideRun> runs, long capacityMilli) {
    List<BestEffortThrottler.TailReading> readings = new ArrayList<>();
    for (SideRun run : runs) {
      if (run.latencyTargetMillis() > 0 && run.isListed()) {
        readings.add(
            new BestEffortThrottler.TailReading(run.measurement(), run.latencyTargetMillis()));
      }
    }
    List<ImageInterference.ImageLoad> loads = imageLoads(runs);
    if (!readings.isEmpty()) {
      interference.observe(loads, BestEffortThrottler.worstPercent(readings));
    }
    observeCpuUse(runs, BestEffortThrottler.worstPercent(readings));
    logClassificationChanges(loads);
    int before = bestEffortThrottler.interferingPercent();
    int after =
        bestEffortThrottler.observe(readings, bestEffortLoad(runs, capacityMilli), loop.now());
    if (before != after) {
      throttleLog.log(
          "fill-paced",
          LogLine.of("fill-paced")
              .with("worker", worker)
              .with("percent", after)
              .with("before", before)
              .with("readings", readings));
    }
    runs.forEach(this::throttle);
    markExcessRuns(runs, capacityMilli, !readings.isEmpty());
    logLoad(runs, readings);
    return before != after;
  }

  /** Compares the processors that best-effort tasks use with those that they were granted. */
  private void observeCpuUse(Collection<SideRun> runs, double worstPercent) {
    double granted = 0;
    double used = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort()
          && run.isListed()
          && run.measurement() > 0
          && run.throttlePercent() > 0) {
        granted += run.milliProcessors() * run.throttlePercent() / 100.0;
        used += run.measurement();
      }
    }
    overcommit.observe(granted, used, worstPercent);
  }

  /** Logs the images on this VM that have become, or are no longer, classified as interfering. */
  private void logClassificationChanges(List<ImageInterference.ImageLoad> loads) {
    for (ImageInterference.ImageLoad each : loads) {
      boolean interfering = isInterfering(each.image());
      Boolean before = loggedAsInterfering.put(each.image(), interfering);
      if (before != null && before != interfering) {
        LOG.info(
            LogLine.of(interfering ? "image-suspected" : "image-cleared")
                .with("worker", worker)
                .with("image", each.image())
                .with("harm", interference.belief(each.image()))
                .with("used_milli", Math.round(each.milliProcessors())));
      }
    }
  }

  private BestEffortThrottler.BestEffortLoad bestEffortLoad(
      Collection<SideRun> runs, long capacityMilli) {
    long interferingMilli = 0;
    long benignMilli = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        boolean interfering = isInterfering(run.image());
        interferingMilli += interfering ? run.milliProcessors() : 0;
        benignMilli += interfering ? 0 : run.milliProcessors();
      }
    }
    return new BestEffortThrottler.BestEffortLoad(interferingMilli, benignMilli, capacityMilli);
  }

  private static List<ImageInterference.ImageLoad> imageLoads(Collection<SideRun> runs) {
    Map<String, Double> used = new HashMap<>();
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        used.merge(run.image(), (double) run.measurement(), Double::sum);
      }
    }
    List<ImageInterference.ImageLoad> loads = new ArrayList<>();
    used.forEach((image, milli) -> loads.add(new ImageInterference.ImageLoad(image, milli)));
    return loads;
  }

  /** Returns the evidence of image interference observed on this VM. */
  Map<String, ImageInterference.Evidence> localEvidence() {
    return interference.localEvidence();
  }

  /** Replaces the evidence of image interference observed on other VMs. */
  void setRemoteEvidence(Map<String, ImageInterference.Evidence> evidence) {
    interference.setRemoteEvidence(evidence);
  }

  private void logLoad(Collection<SideRun> runs, List<BestEffortThrottler.TailReading> readings) {
    if (runs.isEmpty()
        || (loggedAt != Long.MIN_VALUE && loop.now() - loggedAt < LOAD_LOG_INTERVAL_NANOS)) {
      return;
    }
    loggedAt = loop.now();
    long bestEffort = 0;
    long declared = 0;
    long used = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        bestEffort++;
        declared += run.milliProcessors();
        used += run.measurement();
      }
    }
    LOG.info(
        LogLine.of("worker-load")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("filling", bestEffort)
            .with("fill_declared_milli", declared)
            .with("fill_used_milli", used)
            .with("fill_percent", bestEffortThrottler.interferingPercent())
            .with("harmless_percent", bestEffortThrottler.benignPercent())
            .with("serving", readings.size())
            .with(
                "tails_ms",
                readings.stream().map(BestEffortThrottler.TailReading::tailMillis).toList()));
  }

  /** Throttles a best-effort run to the current CPU share, unless the worker already applies it. */
  void throttle(SideRun run) {
    int percent =
        isInterfering(run.image())
            ? bestEffortThrottler.interferingPercent()
            : bestEffortThrottler.benignPercent();
    if (!run.isBestEffort()
        || run.isThrottledTo(percent)
        || run.isStopping()
        || !run.isConfirmed()) {
      return;
    }
    run.throttlePercent(percent);
    gateway
        .throttle(worker, run.key(), percent)
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      if (!(result instanceof Accepted)) {
                        // Retried after the next listing.
                        run.markThrottleUnknown();
                      }
                    }));
  }
}
