package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.Accepted;
import io.marigoldsail.workflow.FillPacer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Carries out what {@link FillPacer} decides for one worker. Confined to the loop's thread. */
final class RunPacing {
  private static final EventLog LOG = EventLog.of(RunPacing.class);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String worker;
  private final FillPacer pacer = new FillPacer();

  RunPacing(LinkLoop loop, WorkerGateway gateway, String worker) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.worker = requireNonNull(worker, "worker");
  }

  int percent() {
    return pacer.percent();
  }

  /** Decides anew by what the worker just told; returns whether the share changed. */
  boolean observe(Collection<SideRun> runs) {
    List<FillPacer.Reading> readings = new ArrayList<>();
    for (SideRun run : runs) {
      if (run.latencyTargetMillis() > 0 && run.isListed()) {
        readings.add(new FillPacer.Reading(run.gauge(), run.latencyTargetMillis()));
      }
    }
    int before = pacer.percent();
    int after = pacer.observe(readings, loop.now());
    if (before != after) {
      LOG.info(
          LogLine.of("fill-paced")
              .with("worker", worker)
              .with("percent", after)
              .with("before", before)
              .with("readings", readings));
    }
    runs.forEach(this::pace);
    return before != after;
  }

  /** Sets the speed of a run, if it fills and has another one. */
  void pace(SideRun run) {
    int percent = pacer.percent();
    if (!run.fills() || run.pacedTo() == percent || run.isStopping() || !run.isConfirmed()) {
      return;
    }
    int before = run.pacedTo();
    run.pacedTo(percent);
    gateway
        .pace(worker, run.key(), percent)
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      if (!(result instanceof Accepted)) {
                        // Tried again with the next listing.
                        run.pacedTo(before);
                      }
                    }));
  }
}
