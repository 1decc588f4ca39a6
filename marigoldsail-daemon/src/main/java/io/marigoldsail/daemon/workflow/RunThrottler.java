package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import io.marigoldsail.colocation.Colocation;
import io.marigoldsail.colocation.ImagePair;
import io.marigoldsail.colocation.InterferenceModel;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.colocation.PairEvidence;
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
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Throttles the best-effort runs of one worker as {@link BestEffortThrottler} decides. Confined to
 * the loop's thread.
 */
final class RunThrottler {
  private static final EventLog LOG = EventLog.of(RunThrottler.class);

  /** Interval between two log lines about the load of a worker, in nanoseconds. */
  private static final long LOAD_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int FULL_PERCENT = 100;

  /** A run at this share of its speed or less does better on another VM, in percent. */
  private static final int SLOW_PERCENT = 25;

  /** How long a run may work at that share before it is to be moved, in nanoseconds. */
  private static final long MAX_SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

  /** How long changes of the CPU share are aggregated into one log line, in nanoseconds. */
  private static final long AGGREGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Overcommit overcommit;
  private final BestEffortThrottler bestEffortThrottler = new BestEffortThrottler();
  private final ImageInterference interference = new ImageInterference();

  /** How the images of the last reading were classified; what no longer runs is left out. */
  private Map<String, Boolean> loggedAsInterfering = Map.of();

  private final AggregatingLog throttleLog;
  private final InterferenceModel pairs = new InterferenceModel();
  private final Optional<Colocation> colocation;
  private long loggedAt = Long.MIN_VALUE;

  RunThrottler(
      LinkLoop loop,
      WorkerGateway gateway,
      String worker,
      Overcommit overcommit,
      InterferenceScope scope) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
    this.overcommit = requireNonNull(overcommit, "overcommit");
    this.colocation =
        scope == InterferenceScope.PER_PAIR ? Optional.of(new Colocation(pairs)) : Optional.empty();
    this.throttleLog = new AggregatingLog(LOG::info, loop::schedule, AGGREGATION_NANOS);
  }

  /**
   * Returns the CPU share that an interfering run gets, 0 to 100 percent; 100 where each image has
   * its own.
   */
  int interferingPercent() {
    return colocation.isPresent() ? FULL_PERCENT : bestEffortThrottler.interferingPercent();
  }

  /** Returns the room beside the services by their image; empty where it is not predicted. */
  Map<String, Double> rooms() {
    return colocation.map(each -> each.rooms().asMap()).orElse(ImmutableMap.of());
  }

  /** Returns the evidence of this VM on pairs of images. */
  Map<ImagePair, PairEvidence> localPairEvidence() {
    return pairs.localEvidence();
  }

  /** Replaces the evidence of the fleet on pairs of images. */
  void setRemotePairEvidence(Map<ImagePair, PairEvidence> evidence) {
    pairs.setRemoteEvidence(evidence);
  }

  /**
   * Returns whether a best-effort run fits beside the service tasks.
   *
   * @param milli processors that the run declares, in thousandths
   * @param capacityMilli those of the VM
   */
  boolean admits(Collection<SideRun> runs, String image, long milli, long capacityMilli) {
    if (colocation.isEmpty()) {
      return !isInterfering(image)
          || InterferenceBudget.admits(capacityMilli, interferingMilliProcessors(runs), milli);
    }
    return colocation.get().rooms().fits(image, shareOf(milli, capacityMilli));
  }

  /** Records that a best-effort run is about to start; parameters as in {@link #admits}. */
  void recordAdmitted(String image, long milli, long capacityMilli) {
    colocation.ifPresent(each -> each.recordAdmitted(image, shareOf(milli, capacityMilli)));
  }

  private static double shareOf(long milli, long capacityMilli) {
    return (double) milli / Math.max(1, capacityMilli);
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
    if (colocation.isPresent()) {
      runs.stream().filter(SideRun::isBestEffort).forEach(this::markSlow);
      return;
    }
    List<SideRun> interfering = interferingRuns(runs);
    List<Long> declared = interfering.stream().map(SideRun::milliProcessors).toList();
    InterferenceBudget.excess(capacityMilli, declared)
        .forEach(position -> interfering.get(position).excess(true));
  }

  private void markSlow(SideRun run) {
    run.recordSpeed(percentOf(run) <= SLOW_PERCENT, loop.now());
    run.excess(run.slowNanos(loop.now()) >= MAX_SLOW_NANOS);
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
    boolean changed =
        colocation.isPresent()
            ? observePairs(colocation.get(), runs, capacityMilli)
            : observeByImage(runs, readings, capacityMilli);
    runs.forEach(this::throttle);
    markExcessRuns(runs, capacityMilli, !readings.isEmpty());
    logLoad(runs, readings);
    return changed;
  }

  private boolean observeByImage(
      Collection<SideRun> runs,
      List<BestEffortThrottler.TailReading> readings,
      long capacityMilli) {
    logClassificationChanges(imageLoads(runs));
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
    return before != after;
  }

  private boolean observePairs(Colocation colocated, Collection<SideRun> runs, long capacityMilli) {
    List<Colocation.ServiceReading> services = new ArrayList<>();
    List<Colocation.BestEffortReading> bestEffort = new ArrayList<>();
    double capacity = Math.max(1, capacityMilli);
    for (SideRun run : runs) {
      if (run.latencyTargetMillis() > 0) {
        services.add(
            Colocation.ServiceReading.of(
                run.key(), run.image(), run.measurement(), run.latencyTargetMillis()));
      } else if (run.isBestEffort()) {
        bestEffort.add(
            new Colocation.BestEffortReading(
                run.image(), run.measurement() / capacity, run.milliProcessors() / capacity));
      }
    }
    boolean changed = colocated.observe(services, bestEffort, loop.now());
    if (changed) {
      throttleLog.log(
          "images-throttled",
          LogLine.of("images-throttled")
              .with("worker", worker)
              .with("percents", colocated.percents())
              .with("effects", colocated.largestEffects())
              .with("rooms", colocated.rooms())
              .with("over", colocated.consecutiveOver())
              .with("services", services.size()));
    }
    return changed;
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
    Map<String, Boolean> classified = new HashMap<>();
    for (ImageInterference.ImageLoad each : loads) {
      boolean interfering = isInterfering(each.image());
      classified.put(each.image(), interfering);
      Boolean before = loggedAsInterfering.get(each.image());
      if (before != null && before != interfering) {
        LOG.info(
            LogLine.of(interfering ? "image-suspected" : "image-cleared")
                .with("worker", worker)
                .with("image", each.image())
                .with("harm", interference.belief(each.image()))
                .with("used_milli", Math.round(each.milliProcessors())));
      }
    }
    loggedAsInterfering = classified;
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
            .with("fill_percent", lowestPercent())
            .with("harmless_percent", bestEffortThrottler.benignPercent())
            .with("serving", readings.size())
            .with(
                "tails_ms",
                readings.stream().map(BestEffortThrottler.TailReading::tailMillis).toList()));
  }

  private int lowestPercent() {
    return colocation
        .map(each -> each.percents().values().stream().min(Integer::compare).orElse(FULL_PERCENT))
        .orElseGet(bestEffortThrottler::interferingPercent);
  }

  private int percentOf(SideRun run) {
    if (colocation.isPresent()) {
      return colocation.get().percent(run.image());
    }
    return isInterfering(run.image())
        ? bestEffortThrottler.interferingPercent()
        : bestEffortThrottler.benignPercent();
  }

  /** Throttles a best-effort run to the current CPU share, unless the worker already applies it. */
  void throttle(SideRun run) {
    int percent = percentOf(run);
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
