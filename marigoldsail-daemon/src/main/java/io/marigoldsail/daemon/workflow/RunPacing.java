package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.FoldedLog;
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
final class RunPacing {
  private static final EventLog LOG = EventLog.of(RunPacing.class);

  /** Between two lines about the load of a worker, in nanoseconds. */
  private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long changes of the share are gathered before the last is told, in nanoseconds. */
  private static final long FOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Overcommit overcommit;
  private final BestEffortThrottler pacer = new BestEffortThrottler();
  private final ImageInterference harm = new ImageInterference();
  private final Map<String, Boolean> suspected = new HashMap<>();
  private final FoldedLog paces;
  private long toldAt = Long.MIN_VALUE;

  RunPacing(LinkLoop loop, WorkerGateway gateway, String worker, Overcommit overcommit) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
    this.overcommit = requireNonNull(overcommit, "overcommit");
    this.paces = new FoldedLog(LOG::info, loop::schedule, FOLD_NANOS);
  }

  int percent() {
    return pacer.interferingPercent();
  }

  /** Returns whether tasks of the image may disturb tasks that serve. */
  boolean isSuspect(String image) {
    return ImageInterference.isInterfering(harm.belief(image));
  }

  /** Returns what the suspects among the runs declare, in thousandths of a processor. */
  long suspectMilliProcessors(Collection<SideRun> runs) {
    return suspects(runs).stream().mapToLong(SideRun::milliProcessors).sum();
  }

  private List<SideRun> suspects(Collection<SideRun> runs) {
    return runs.stream().filter(run -> run.fills() && isSuspect(run.image())).toList();
  }

  /**
   * Marks the runs that are too many beside tasks that serve, for their owners to move them.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   */
  private void markCrowded(Collection<SideRun> runs, long capacityMilli, boolean serving) {
    runs.forEach(run -> run.crowded(false));
    if (!serving) {
      return;
    }
    List<SideRun> suspects = suspects(runs);
    List<Long> declared = suspects.stream().map(SideRun::milliProcessors).toList();
    InterferenceBudget.excess(capacityMilli, declared)
        .forEach(position -> suspects.get(position).crowded(true));
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
        readings.add(new BestEffortThrottler.TailReading(run.gauge(), run.latencyTargetMillis()));
      }
    }
    List<ImageInterference.ImageLoad> fillings = fillings(runs);
    if (!readings.isEmpty()) {
      harm.observe(fillings, BestEffortThrottler.worstPercent(readings));
    }
    observeAttained(runs, BestEffortThrottler.worstPercent(readings));
    tellOfSuspects(fillings);
    int before = pacer.interferingPercent();
    int after = pacer.observe(readings, filling(runs, capacityMilli), loop.now());
    if (before != after) {
      paces.tell(
          "fill-paced",
          LogLine.of("fill-paced")
              .with("worker", worker)
              .with("percent", after)
              .with("before", before)
              .with("readings", readings));
    }
    runs.forEach(this::pace);
    markCrowded(runs, capacityMilli, !readings.isEmpty());
    tell(runs, readings);
    return before != after;
  }

  /** Compares what tasks that fill work on with what they would, given the processors for it. */
  private void observeAttained(Collection<SideRun> runs, double worstPercent) {
    double asked = 0;
    double used = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed() && run.gauge() > 0 && run.pacedTo() > 0) {
        asked += run.milliProcessors() * run.pacedTo() / 100.0;
        used += run.gauge();
      }
    }
    overcommit.observe(asked, used, worstPercent);
  }

  /** Logs what images that are here have come to be believed to disturb, or not to. */
  private void tellOfSuspects(List<ImageInterference.ImageLoad> fillings) {
    for (ImageInterference.ImageLoad each : fillings) {
      boolean suspect = isSuspect(each.image());
      Boolean before = suspected.put(each.image(), suspect);
      if (before != null && before != suspect) {
        LOG.info(
            LogLine.of(suspect ? "image-suspected" : "image-cleared")
                .with("worker", worker)
                .with("image", each.image())
                .with("harm", harm.belief(each.image()))
                .with("used_milli", Math.round(each.milliProcessors())));
      }
    }
  }

  private BestEffortThrottler.BestEffortLoad filling(Collection<SideRun> runs, long capacityMilli) {
    long suspect = 0;
    long harmless = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        boolean suspected = isSuspect(run.image());
        suspect += suspected ? run.milliProcessors() : 0;
        harmless += suspected ? 0 : run.milliProcessors();
      }
    }
    return new BestEffortThrottler.BestEffortLoad(suspect, harmless, capacityMilli);
  }

  private static List<ImageInterference.ImageLoad> fillings(Collection<SideRun> runs) {
    Map<String, Double> worked = new HashMap<>();
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        worked.merge(run.image(), (double) run.gauge(), Double::sum);
      }
    }
    List<ImageInterference.ImageLoad> fillings = new ArrayList<>();
    worked.forEach((image, milli) -> fillings.add(new ImageInterference.ImageLoad(image, milli)));
    return fillings;
  }

  /** Returns what was seen here of the harm that images do. */
  Map<String, ImageInterference.Evidence> seen() {
    return harm.localEvidence();
  }

  /** Takes what other VMs saw. */
  void seenElsewhere(Map<String, ImageInterference.Evidence> seen) {
    harm.setRemoteEvidence(seen);
  }

  private void tell(Collection<SideRun> runs, List<BestEffortThrottler.TailReading> readings) {
    if (runs.isEmpty() || (toldAt != Long.MIN_VALUE && loop.now() - toldAt < TELL_NANOS)) {
      return;
    }
    toldAt = loop.now();
    long fills = 0;
    long declared = 0;
    long used = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        fills++;
        declared += run.milliProcessors();
        used += run.gauge();
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
  void pace(SideRun run) {
    int percent = isSuspect(run.image()) ? pacer.interferingPercent() : pacer.benignPercent();
    if (!run.fills() || run.isPacedTo(percent) || run.isStopping() || !run.isConfirmed()) {
      return;
    }
    run.pacedTo(percent);
    gateway
        .pace(worker, run.key(), percent)
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      if (!(result instanceof Accepted)) {
                        // Tried again with the next listing.
                        run.speedBecameUnknown();
                      }
                    }));
  }
}
