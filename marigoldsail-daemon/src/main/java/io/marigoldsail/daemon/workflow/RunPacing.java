package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.FoldedLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.workflow.FillPacer;
import io.marigoldsail.workflow.ImageHarm;
import io.marigoldsail.workflow.Overcommit;
import io.marigoldsail.workflow.SuspectRoom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Throttles the best-effort runs of one worker as {@link FillPacer} decides. Confined to the loop's
 * thread.
 */
final class RunPacing {
  private static final EventLog LOG = EventLog.of(RunPacing.class);

  /** Interval between two log lines about the load of a worker, in nanoseconds. */
  private static final long TELL_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long changes of the CPU share are aggregated into one log line, in nanoseconds. */
  private static final long FOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final Overcommit overcommit;
  private final FillPacer pacer = new FillPacer();
  private final ImageHarm harm = new ImageHarm();
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

  /** Returns the share of its speed at which an interfering run may work, 0 to 100. */
  int percent() {
    return pacer.percent();
  }

  /** Returns whether the image is believed to interfere with service tasks. */
  boolean isSuspect(String image) {
    return ImageHarm.isSuspect(harm.belief(image));
  }

  /** Returns the declared processors of the interfering runs, in thousandths of a processor. */
  long suspectMilliProcessors(Collection<SideRun> runs) {
    return suspects(runs).stream().mapToLong(SideRun::milliProcessors).sum();
  }

  private List<SideRun> suspects(Collection<SideRun> runs) {
    return runs.stream().filter(run -> run.fills() && isSuspect(run.image())).toList();
  }

  /**
   * Marks the interfering runs beyond the limit beside service tasks, so that their owners move
   * them.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   * @param hasServiceTasks whether service tasks run on the VM
   */
  private void markCrowded(Collection<SideRun> runs, long capacityMilli, boolean hasServiceTasks) {
    runs.forEach(run -> run.crowded(false));
    if (!hasServiceTasks) {
      return;
    }
    List<SideRun> interfering = suspects(runs);
    List<Long> declared = interfering.stream().map(SideRun::milliProcessors).toList();
    SuspectRoom.excess(capacityMilli, declared)
        .forEach(position -> interfering.get(position).crowded(true));
  }

  /**
   * Applies the measurements of the newest listing; returns whether the CPU share of interfering runs
   * changed.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   */
  boolean observe(Collection<SideRun> runs, long capacityMilli) {
    List<FillPacer.Reading> readings = new ArrayList<>();
    for (SideRun run : runs) {
      if (run.latencyTargetMillis() > 0 && run.isListed()) {
        readings.add(new FillPacer.Reading(run.gauge(), run.latencyTargetMillis()));
      }
    }
    List<ImageHarm.Filling> use = fillings(runs);
    if (!readings.isEmpty()) {
      harm.observe(use, FillPacer.worstPercent(readings));
    }
    observeAttained(runs, FillPacer.worstPercent(readings));
    tellOfSuspects(use);
    int before = pacer.percent();
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

  /** Compares the processors that best-effort tasks use with those that they were granted. */
  private void observeAttained(Collection<SideRun> runs, double worstPercent) {
    double granted = 0;
    double used = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed() && run.gauge() > 0 && run.pacedTo() > 0) {
        granted += run.milliProcessors() * run.pacedTo() / 100.0;
        used += run.gauge();
      }
    }
    overcommit.observe(granted, used, worstPercent);
  }

  /** Logs the images on this VM that have become, or are no longer, classified as interfering. */
  private void tellOfSuspects(List<ImageHarm.Filling> use) {
    for (ImageHarm.Filling each : use) {
      boolean interfering = isSuspect(each.image());
      Boolean before = suspected.put(each.image(), interfering);
      if (before != null && before != interfering) {
        LOG.info(
            LogLine.of(interfering ? "image-suspected" : "image-cleared")
                .with("worker", worker)
                .with("image", each.image())
                .with("harm", harm.belief(each.image()))
                .with("used_milli", Math.round(each.milliProcessors())));
      }
    }
  }

  private FillPacer.Filling filling(Collection<SideRun> runs, long capacityMilli) {
    long interferingMilli = 0;
    long benignMilli = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        boolean interfering = isSuspect(run.image());
        interferingMilli += interfering ? run.milliProcessors() : 0;
        benignMilli += interfering ? 0 : run.milliProcessors();
      }
    }
    return new FillPacer.Filling(interferingMilli, benignMilli, capacityMilli);
  }

  private static List<ImageHarm.Filling> fillings(Collection<SideRun> runs) {
    Map<String, Double> used = new HashMap<>();
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        used.merge(run.image(), (double) run.gauge(), Double::sum);
      }
    }
    List<ImageHarm.Filling> use = new ArrayList<>();
    used.forEach((image, milli) -> use.add(new ImageHarm.Filling(image, milli)));
    return use;
  }

  /** Returns the observations of image interference made on this VM. */
  Map<String, ImageHarm.Seen> seen() {
    return harm.own();
  }

  /** Replaces the observations of image interference made on other VMs. */
  void seenElsewhere(Map<String, ImageHarm.Seen> observations) {
    harm.others(observations);
  }

  private void tell(Collection<SideRun> runs, List<FillPacer.Reading> readings) {
    if (runs.isEmpty() || (toldAt != Long.MIN_VALUE && loop.now() - toldAt < TELL_NANOS)) {
      return;
    }
    toldAt = loop.now();
    long bestEffort = 0;
    long declared = 0;
    long used = 0;
    for (SideRun run : runs) {
      if (run.fills() && run.isListed()) {
        bestEffort++;
        declared += run.milliProcessors();
        used += run.gauge();
      }
    }
    LOG.info(
        LogLine.of("worker-load")
            .with("worker", worker)
            .with("runs", runs.size())
            .with("filling", bestEffort)
            .with("fill_declared_milli", declared)
            .with("fill_used_milli", used)
            .with("fill_percent", pacer.percent())
            .with("harmless_percent", pacer.harmlessPercent())
            .with("serving", readings.size())
            .with("tails_ms", readings.stream().map(FillPacer.Reading::tailMillis).toList()));
  }

  /** Throttles a best-effort run to the current CPU share, unless the worker already applies it. */
  void pace(SideRun run) {
    int percent = isSuspect(run.image()) ? pacer.percent() : pacer.harmlessPercent();
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
                        // Retried after the next listing.
                        run.speedBecameUnknown();
                      }
                    }));
  }
}
