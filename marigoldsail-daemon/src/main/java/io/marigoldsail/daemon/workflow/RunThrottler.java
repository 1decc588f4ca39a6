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
 * Carries out what {@link BestEffortThrottler} decides for one worker. Confined to the loop's
 * thread.
 */
final class RunThrottler {
  private static final EventLog LOG = EventLog.of(RunThrottler.class);

  /** Between two lines about the load of a worker, in nanoseconds. */
  private static final long LOAD_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long changes of the share are gathered before the last is told, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Overcommit overcommit;
  private final BestEffortThrottler pacer = new BestEffortThrottler();
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

  int interferingPercent() {
    return pacer.interferingPercent();
  }

  /** Returns whether tasks of the image may disturb tasks that serve. */
  boolean isInterfering(String image) {
    return ImageInterference.isInterfering(interference.belief(image));
  }

  /** Returns what the suspects among the runs declare, in thousandths of a processor. */
  long interferingMilliProcessors(Collection<SideRun> runs) {
    return interferingRuns(runs).stream().mapToLong(SideRun::milliProcessors).sum();
  }

  private List<SideRun> interferingRuns(Collection<SideRun> runs) {
    return runs.stream().filter(run -> run.isBestEffort() && isInterfering(run.image())).toList();
  }

  /**
   * Marks the runs that are too many beside tasks that serve, for their owners to move them.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   */
  private void markExcessRuns(Collection<SideRun> runs, long capacityMilli, boolean serving) {
    runs.forEach(run -> run.excess(false));
    if (!serving) {
      return;
    }
    List<SideRun> suspects = interferingRuns(runs);
    List<Long> declared = suspects.stream().map(SideRun::milliProcessors).toList();
    InterferenceBudget.excess(capacityMilli, declared)
        .forEach(position -> suspects.get(position).excess(true));
  }

  /**
   * Decides anew by what the worker just told; returns whether the share changed.
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
    List<ImageInterference.ImageLoad> fillings = bestEffortUse(runs);
    if (!readings.isEmpty()) {
      interference.observe(fillings, BestEffortThrottler.worstPercent(readings));
    }
    observeCpuUse(runs, BestEffortThrottler.worstPercent(readings));
    logClassificationChanges(fillings);
    int before = pacer.interferingPercent();
    int after = pacer.observe(readings, bestEffortRequests(runs, capacityMilli), loop.now());
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

  /** Compares what tasks that fill work on with what they would, given the processors for it. */
  private void observeCpuUse(Collection<SideRun> runs, double worstPercent) {
    double asked = 0;
    double used = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort()
          && run.isListed()
          && run.measurement() > 0
          && run.throttlePercent() > 0) {
        asked += run.milliProcessors() * run.throttlePercent() / 100.0;
        used += run.measurement();
      }
    }
    overcommit.observe(asked, used, worstPercent);
  }

  /** Logs what images that are here have come to be believed to disturb, or not to. */
  private void logClassificationChanges(List<ImageInterference.ImageLoad> fillings) {
    for (ImageInterference.ImageLoad each : fillings) {
      boolean suspect = isInterfering(each.image());
      Boolean before = loggedAsInterfering.put(each.image(), suspect);
      if (before != null && before != suspect) {
        LOG.info(
            LogLine.of(suspect ? "image-suspected" : "image-cleared")
                .with("worker", worker)
                .with("image", each.image())
                .with("harm", interference.belief(each.image()))
                .with("used_milli", Math.round(each.milliProcessors())));
      }
    }
  }

  private BestEffortThrottler.BestEffortLoad bestEffortRequests(
      Collection<SideRun> runs, long capacityMilli) {
    long suspect = 0;
    long harmless = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        boolean suspected = isInterfering(run.image());
        suspect += suspected ? run.milliProcessors() : 0;
        harmless += suspected ? 0 : run.milliProcessors();
      }
    }
    return new BestEffortThrottler.BestEffortLoad(suspect, harmless, capacityMilli);
  }

  private static List<ImageInterference.ImageLoad> bestEffortUse(Collection<SideRun> runs) {
    Map<String, Double> worked = new HashMap<>();
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        worked.merge(run.image(), (double) run.measurement(), Double::sum);
      }
    }
    List<ImageInterference.ImageLoad> fillings = new ArrayList<>();
    worked.forEach((image, milli) -> fillings.add(new ImageInterference.ImageLoad(image, milli)));
    return fillings;
  }

  /** Returns what was seen here of the harm that images do. */
  Map<String, ImageInterference.Evidence> localObservations() {
    return interference.localEvidence();
  }

  /** Takes what other VMs saw. */
  void remoteObservations(Map<String, ImageInterference.Evidence> seen) {
    interference.setRemoteEvidence(seen);
  }

  private void logLoad(Collection<SideRun> runs, List<BestEffortThrottler.TailReading> readings) {
    if (runs.isEmpty()
        || (loggedAt != Long.MIN_VALUE && loop.now() - loggedAt < LOAD_LOG_INTERVAL_NANOS)) {
      return;
    }
    loggedAt = loop.now();
    long fills = 0;
    long declared = 0;
    long used = 0;
    for (SideRun run : runs) {
      if (run.isBestEffort() && run.isListed()) {
        fills++;
        declared += run.milliProcessors();
        used += run.measurement();
      }
    }
    LOG.info(
        LogLine.of("worker-load")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("filling", fills)
            .with("fill_declared_milli", declared)
            .with("fill_used_milli", used)
            .with("fill_percent", pacer.interferingPercent())
            .with("harmless_percent", pacer.benignPercent())
            .with("serving", readings.size())
            .with(
                "tails_ms",
                readings.stream().map(BestEffortThrottler.TailReading::tailMillis).toList()));
  }

  /** Sets the speed of a run, if it fills and has another one. */
  void throttle(SideRun run) {
    int percent = isInterfering(run.image()) ? pacer.interferingPercent() : pacer.benignPercent();
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
                        // Tried again with the next listing.
                        run.markThrottleUnknown();
                      }
                    }));
  }
}
