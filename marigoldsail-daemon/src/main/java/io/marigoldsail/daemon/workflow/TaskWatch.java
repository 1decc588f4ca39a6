package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.workflow.AbsenceWatch;
import io.marigoldsail.workflow.AbsenceWatch.Absence;
import io.marigoldsail.workflow.AbsenceWatch.Look;
import io.marigoldsail.workflow.AbsenceWatch.Return;
import io.marigoldsail.workflow.AbsenceWatch.Sight;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.VmOffer;
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
 * <p>A task counts as running if a report shows its open attempt as started and not stopping, on the
 * worker that it was ordered on, while that worker answers its side process: a side process keeps
 * listing the runs of a worker that is gone. Every {@link #SUMMARY_NANOS} the owned partitions are
 * logged as well, which makes a task visible that no owner logs.
 *
 * <p>Takes no decisions about tasks. Confined to the loop's thread; a check takes time linear in
 * the number of tasks of running workflows.
 */
final class TaskWatch {
  private static final EventLog LOG = EventLog.of(TaskWatch.class);

  /**
   * Interval of summary lines, in nanoseconds; {@link AbsenceWatch#REPEAT_NANOS} while more tasks
   * are absent than are logged.
   */
  static final long SUMMARY_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final LinkLoop loop;
  private final LongSupplier wallMillis;
  private final Ownership ownership;
  private final EntryVms vms;
  private final EntryScheduler scheduler;
  private final AbsenceWatch watch = new AbsenceWatch();
  private long summaryAt = Long.MIN_VALUE;
  private long returnsLeftOut;

  TaskWatch(
      LinkLoop loop,
      LongSupplier wallMillis,
      Ownership ownership,
      EntryVms vms,
      EntryScheduler scheduler) {
    this.loop = requireNonNull(loop, "loop");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.ownership = requireNonNull(ownership, "ownership");
    this.vms = requireNonNull(vms, "vms");
    this.scheduler = requireNonNull(scheduler, "scheduler");
  }

  /** Checks all long-running tasks once; to be called about every second. */
  void look() {
    Look look = watch.look(sights(), loop.now());
    look.returns().forEach(this::tellBack);
    if (!look.absences().isEmpty()) {
      List<VmOffer> offers = vms.offers();
      String availability = standings();
      look.absences().forEach(absence -> tellAbsent(absence, offers, availability));
    }
    returnsLeftOut += look.returnsLeftOut();
    summarize(look);
  }

  private ImmutableList<Sight> sights() {
    ImmutableList.Builder<Sight> sights = ImmutableList.builder();
    long wall = wallMillis.getAsLong();
    for (OwnedPartition partition : ownership.active()) {
      for (Workflow workflow : partition.workflows()) {
        if (!workflow.status().isTerminal() && lasts(workflow)) {
          workflow.openTasks().stream()
              .filter(TaskWatch::lasts)
              .forEach(task -> sights.add(sight(task)));
          workflow.forEachReady(
              wall,
              task -> {
                if (lasts(task)) {
                  sights.add(new Sight(task, OptionalLong.empty(), OptionalLong.empty()));
                }
              });
        }
      }
    }
    return sights.build();
  }

  private static boolean lasts(Workflow workflow) {
    return workflow.spec().steps().stream().anyMatch(step -> step.nature().lasting());
  }

  private static boolean lasts(WorkflowTask task) {
    return task.step().nature().lasting();
  }

  private Sight sight(WorkflowTask task) {
    Place place = task.place().orElseThrow();
    Optional<VmSession> session = vms.view().session(place.vm());
    Optional<RunReport> report = session.flatMap(each -> each.run(task.openRun()));
    if (report.isEmpty()) {
      return new Sight(task, OptionalLong.empty(), OptionalLong.empty());
    }
    OptionalLong reportedAt = OptionalLong.of(session.get().reportedAt());
    // Runs of unknown size make a VM unhealthy to other owners although its worker listed them.
    boolean listed = session.get().hasRunsOfUnknownSize() || !session.get().report().getUnhealthy();
    boolean answers = listed && session.get().report().getWorker().equals(place.worker());
    boolean running = answers && report.get().getStarted() && !report.get().getStopping();
    return new Sight(task, running ? reportedAt : OptionalLong.empty(), reportedAt);
  }

  private void tellAbsent(Absence absence, List<VmOffer> offers, String availability) {
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
            ? withOpenRun(line, task, place.get())
            : withWait(line, task, offers, availability));
  }

  private LogLine withOpenRun(LogLine line, WorkflowTask task, Place place) {
    Optional<VmSession> session = vms.view().session(place.vm());
    boolean durable = vms.view().openRun(task).map(OpenRun::isDurable).orElse(false);
    return line.with("belief", "open")
        .with("run", task.openRun())
        .with("vm", place.vm())
        .with("worker", place.worker())
        .with("durable", durable)
        .with("reported", reported(session.flatMap(each -> each.run(task.openRun()))))
        .with("stop_wanted", task.isStopWanted())
        .with("vm_worker", session.map(each -> each.report().getWorker()).orElse(""))
        .with(
            "vm_is",
            session.map(vms.view()::standing).map(VmStanding::toString).orElse("disconnected"))
        .with(
            "vm_report_ms",
            age(session.map(VmSession::reportedAt).map(OptionalLong::of).orElse(noTime())));
  }

  private static String reported(Optional<RunReport> run) {
    if (run.isEmpty()) {
      return "not";
    }
    if (run.get().getStopping()) {
      return "stopping";
    }
    return run.get().getStarted() ? "started" : "ordered";
  }

  private LogLine withWait(
      LogLine line, WorkflowTask task, List<VmOffer> offers, String availability) {
    return line.with("belief", "ready")
        .with("reason", scheduler.causeOf(partitionOf(task), task, offers))
        .with("offers", scheduler.verdictsOn(task, offers))
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
  private String standings() {
    Multiset<VmStanding> counts = EnumMultiset.create(VmStanding.class);
    vms.view().sessions().forEach(each -> counts.add(vms.view().standing(each)));
    return Tallies.text(counts);
  }

  private void tellBack(Return back) {
    WorkflowTask task = back.task();
    LOG.info(
        LogLine.of("task-back")
            .with("task", task.key())
            .with("away_ms", TimeUnit.NANOSECONDS.toMillis(back.awayNanos()))
            .with("run", task.openRun())
            .with("vm", task.place().orElseThrow().vm()));
  }

  private void summarize(Look look) {
    long interval = look.absencesLeftOut() > 0 ? AbsenceWatch.REPEAT_NANOS : SUMMARY_NANOS;
    if (summaryAt != Long.MIN_VALUE && loop.now() - summaryAt < interval) {
      return;
    }
    summaryAt = loop.now();
    List<Integer> partitions = ownership.active().stream().map(OwnedPartition::number).toList();
    LOG.info(
        LogLine.of("tasks-watched")
            .with("lasting", look.lasting())
            .with("absent", look.away())
            .with("untold", look.absencesLeftOut())
            .with("back_untold", returnsLeftOut)
            .with("partitions", partitions));
    returnsLeftOut = 0;
  }
}
