package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.workflow.AbsenceDetector;
import io.marigoldsail.workflow.AbsenceDetector.Absence;
import io.marigoldsail.workflow.AbsenceDetector.CheckResult;
import io.marigoldsail.workflow.AbsenceDetector.Observation;
import io.marigoldsail.workflow.AbsenceDetector.Recovery;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkerIncarnation;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Logs long-running tasks of the owned partitions that no report shows as running, with the state
 * that this owner has recorded for each.
 *
 * <p>A task counts as running if a report shows its open attempt as started and not stopping, on
 * the worker that it was ordered on, while that worker responds to its side process: a side process
 * keeps listing the runs of a worker that is gone. Every {@link #SUMMARY_INTERVAL_NANOS} the owned
 * partitions are logged as well, which makes a task visible that no owner logs.
 *
 * <p>Makes no decisions about tasks. Confined to the loop's thread; a check takes time linear in
 * the number of tasks of running workflows.
 */
final class LongRunningTaskMonitor {
  private static final EventLog LOG = EventLog.of(LongRunningTaskMonitor.class);

  /**
   * Interval of summary lines, in nanoseconds; {@link AbsenceDetector#REPEAT_NANOS} while more
   * tasks are absent than are logged.
   */
  static final long SUMMARY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final PartitionOwnership ownership;
  private final VmTracker vms;
  private final EntryScheduler scheduler;
  private final AbsenceDetector detector = new AbsenceDetector();
  private long summaryAt = Long.MIN_VALUE;
  private long unreportedRecoveries;

  LongRunningTaskMonitor(
      LinkLoop loop,
      LongSupplier wallMillis,
      PartitionOwnership ownership,
      VmTracker vms,
      EntryScheduler scheduler) {
    this.loop = requireNonNull(loop, "loop");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.ownership = requireNonNull(ownership, "ownership");
    this.vms = requireNonNull(vms, "vms");
    this.scheduler = requireNonNull(scheduler, "scheduler");
  }

  /** Checks all long-running tasks once; to be called about every second. */
  void check() {
    CheckResult result = detector.check(observations(), loop.now());
    result.recoveries().forEach(this::logRecovery);
    if (!result.absences().isEmpty()) {
      List<VmOffer> offers = vms.offers();
      String availability = availabilityCounts();
      result.absences().forEach(absence -> logAbsent(absence, offers, availability));
    }
    unreportedRecoveries += result.omittedRecoveries();
    logSummary(result);
  }

  private ImmutableList<Observation> observations() {
    ImmutableList.Builder<Observation> observations = ImmutableList.builder();
    long wallNow = wallMillis.getAsLong();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.status().isTerminal() && isLongRunning(workflow)) {
          workflow.openTasks().stream()
              .filter(LongRunningTaskMonitor::isLongRunning)
              .forEach(task -> observations.add(observe(task)));
          workflow.forEachReady(
              wallNow,
              task -> {
                if (isLongRunning(task)) {
                  observations.add(
                      new Observation(task, OptionalLong.empty(), OptionalLong.empty()));
                }
              });
        }
      }
    }
    return observations.build();
  }

  private static boolean isLongRunning(Workflow workflow) {
    return workflow.spec().steps().stream().anyMatch(step -> step.traits().longRunning());
  }

  private static boolean isLongRunning(WorkflowTask task) {
    return task.step().traits().longRunning();
  }

  private Observation observe(WorkflowTask task) {
    Place place = task.place().orElseThrow();
    Optional<VmSession> session = vms.view().session(place.vm());
    Optional<RunReport> report = session.flatMap(each -> each.run(task.openRun()));
    if (report.isEmpty()) {
      return new Observation(task, OptionalLong.empty(), OptionalLong.empty());
    }
    OptionalLong reportedAt = OptionalLong.of(session.get().reportedAt());
    // Runs of unknown size and an evacuation make a VM unhealthy although its worker lists its
    // runs.
    boolean listed =
        session.get().hasRunsOfUnknownSize()
            || vms.view().isEvacuated(session.get())
            || !session.get().report().getUnhealthy();
    boolean responds =
        listed && WorkerIncarnation.mayBeSame(session.get().report().getWorker(), place.worker());
    boolean running = responds && report.get().getStarted() && !report.get().getStopping();
    return new Observation(task, running ? reportedAt : OptionalLong.empty(), reportedAt);
  }

  private void logAbsent(Absence absence, List<VmOffer> offers, String availability) {
    WorkflowTask task = absence.task();
    long now = loop.now();
    LogLine line =
        LogLine.of("task-absent")
            .with("task", task.key())
            .with("partition", partitionOf(task).number())
            .with("absent_ms", TimeUnit.NANOSECONDS.toMillis(now - absence.since()))
            .with("since", absence.seenBefore() ? "last seen running" : "first checked")
            .with("named_ms", age(absence.namedAt()));
    Optional<Place> place = task.place();
    LOG.info(
        place.isPresent()
            ? addOpenRun(line, task, place.get())
            : addWait(line, task, offers, availability));
  }

  private LogLine addOpenRun(LogLine line, WorkflowTask task, Place place) {
    Optional<VmSession> session = vms.view().session(place.vm());
    boolean durable = vms.view().openRun(task).map(OpenRun::isDurable).orElse(false);
    return line.with("belief", "open")
        .with("run", task.openRun())
        .with("vm", place.vm())
        .with("worker", place.worker())
        .with("durable", durable)
        .with("reported", reportedState(session.flatMap(each -> each.run(task.openRun()))))
        .with("stop_wanted", task.isStopRequested())
        .with("vm_worker", session.map(each -> each.report().getWorker()).orElse(""))
        .with(
            "vm_is",
            session
                .map(vms.view()::availability)
                .map(VmAvailability::toString)
                .orElse("disconnected"))
        .with(
            "vm_report_ms",
            age(session.map(VmSession::reportedAt).map(OptionalLong::of).orElse(noTime())));
  }

  private static String reportedState(Optional<RunReport> run) {
    if (run.isEmpty()) {
      return "not";
    }
    if (run.get().getStopping()) {
      return "stopping";
    }
    return run.get().getStarted() ? "started" : "ordered";
  }

  private LogLine addWait(
      LogLine line, WorkflowTask task, List<VmOffer> offers, String availability) {
    return line.with("belief", "ready")
        .with("reason", scheduler.waitCause(partitionOf(task), task, offers))
        .with("offers", scheduler.verdictCounts(task, offers))
        .with("vms", availability)
        .with("attempts", task.lastAttempt())
        .with("refusals", task.refusals());
  }

  private OwnedPartition partitionOf(WorkflowTask task) {
    int number = ownership.partitionOf(task.key().workflow());
    return ownership.active(number).orElseThrow();
  }

  private static OptionalLong noTime() {
    return OptionalLong.empty();
  }

  private String age(OptionalLong at) {
    return at.isEmpty()
        ? "none"
        : String.valueOf(TimeUnit.NANOSECONDS.toMillis(loop.now() - at.getAsLong()));
  }

  /** Returns the number of connected VMs by availability, such as {@code 3 offered, 1 rests}. */
  private String availabilityCounts() {
    Multiset<VmAvailability> counts = EnumMultiset.create(VmAvailability.class);
    vms.view().sessions().forEach(each -> counts.add(vms.view().availability(each)));
    return CountFormat.format(counts);
  }

  private void logRecovery(Recovery recovery) {
    WorkflowTask task = recovery.task();
    LOG.info(
        LogLine.of("task-back")
            .with("task", task.key())
            .with("away_ms", TimeUnit.NANOSECONDS.toMillis(recovery.absentNanos()))
            .with("run", task.openRun())
            .with("vm", task.place().orElseThrow().vm()));
  }

  private void logSummary(CheckResult result) {
    long interval =
        result.omittedAbsences() > 0 ? AbsenceDetector.REPEAT_NANOS : SUMMARY_INTERVAL_NANOS;
    if (summaryAt != Long.MIN_VALUE && loop.now() - summaryAt < interval) {
      return;
    }
    summaryAt = loop.now();
    List<Integer> partitions = ownership.active().stream().map(OwnedPartition::number).toList();
    LOG.info(
        LogLine.of("tasks-watched")
            .with("lasting", result.longRunning())
            .with("absent", result.absent())
            .with("untold", result.omittedAbsences())
            .with("back_untold", unreportedRecoveries)
            .with("partitions", partitions));
    unreportedRecoveries = 0;
  }
}
