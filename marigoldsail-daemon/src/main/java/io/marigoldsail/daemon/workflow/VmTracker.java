package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * The VMs as an entry knows them, and the runs that it owns on them.
 *
 * <p>Reports tell the whole state of a VM as far as this entry owns it, so that a lost connection,
 * a restart or a new owner needs no protocol of its own: what an owner expects and a report lacks
 * is ordered again, and what a report has and no owner expects is stopped. Orders name the attempt,
 * and a worker carries out each at most once.
 *
 * <p>Confined to the loop's thread.
 */
final class VmTracker {
  private static final EventLog LOG = EventLog.of(VmTracker.class);

  /** Between two orders to stop the same run, in nanoseconds. */
  private static final long STOP_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Told what reports change; runs on the loop. */
  interface Listener {
    /** A run ended and its task may wait again. */
    void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome);

    /** A VM has more or other room. */
    void capacityChanged();
  }

  private final LinkLoop loop;
  private final PartitionOwnership ownership;
  private final WorkerLeaseTerms terms;
  private final Listener listener;
  private final LongSupplier wallMillis;
  private final Map<LinkConnection, VmSession> sessions = new HashMap<>();
  private final Map<String, VmSession> sessionsByVm = new LinkedHashMap<>();
  private final OpenRuns openRuns = new OpenRuns();
  private final Map<String, Long> lastLeaseGrantAt = new HashMap<>();
  private final FleetStatistics fleet = new FleetStatistics();
  private final VmView view;
  private final RunEndAcknowledger endAcknowledger;
  private boolean flushScheduled;

  VmTracker(
      LinkLoop loop,
      PartitionOwnership ownership,
      WorkerLeaseTerms terms,
      LongSupplier wallMillis,
      Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.ownership = requireNonNull(ownership, "ownership");
    this.terms = requireNonNull(terms, "terms");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.listener = requireNonNull(listener, "listener");
    this.view = new VmView(loop, sessionsByVm, openRuns, fleet);
    this.endAcknowledger = new RunEndAcknowledger(loop);
  }

  /** Follows the runs that former owners of the partition ordered. */
  void partitionActivated(OwnedPartition partition) {
    for (Workflow workflow : partition.workflows()) {
      workflow
          .openTasks()
          .forEach(task -> openRuns.add(OpenRun.takenOver(partition, task, loop.now())));
    }
  }

  /** Forgets the runs of a partition that another process decides for. */
  void partitionLost(OwnedPartition partition) {
    openRuns.removePartition(partition);
  }

  /** Follows runs of a workflow that were just decided on, and orders them once that is durable. */
  void addOrdered(OwnedPartition partition, List<OpenRun> decided) {
    Map<RunKey, OpenRun> runs = new LinkedHashMap<>();
    for (OpenRun run : decided) {
      openRuns.add(run);
      runs.put(run.task().openRun(), run);
    }
    partition.persist(decided.get(0).task().workflow());
    partition.writer().afterDurable(() -> runs.forEach(this::orderDurable));
  }

  private void orderDurable(RunKey key, OpenRun run) {
    run.markDurable();
    WorkflowTask task = run.task();
    if (task.isOpen() && task.openRun().equals(key)) {
      sendOrder(run, task.place().orElseThrow());
    }
  }

  private void sendOrder(OpenRun run, Place place) {
    VmSession session = sessionsByVm.get(place.vm());
    if (session == null || !session.report().getWorker().equals(place.worker())) {
      return;
    }
    if (run.shouldStop()) {
      sendStop(session, run);
    } else {
      run.orderSent(session, session.addStart(run));
    }
    scheduleFlush();
  }

  private void sendStop(VmSession session, OpenRun run) {
    if (run.tryStartStop(loop.now(), STOP_RESEND_NANOS)) {
      session.addStop(run.task().openRun());
      scheduleFlush();
    }
  }

  /** Stops the open runs of the workflow that are not wanted any more. */
  void stopUnwanted(Workflow workflow) {
    for (WorkflowTask task : workflow.openTasks()) {
      Place place = task.place().orElseThrow();
      VmSession session = sessionsByVm.get(place.vm());
      openRuns
          .find(place.vm(), task.openRun())
          .filter(run -> run.isDurable() && run.shouldStop() && session != null)
          .ifPresent(run -> sendStop(session, run));
    }
  }

  /** Takes a report from a side process. */
  void handleReport(LinkConnection connection, VmReport report) {
    if (report.getVm().isEmpty()) {
      LOG.warning(LogLine.of("report-without-vm").with("peer", connection));
      return;
    }
    VmSession session = sessions.get(connection);
    if (session == null) {
      session = new VmSession(connection, report, loop.now());
      sessions.put(connection, session);
      sessionsByVm.put(report.getVm(), session);
      LOG.info(
          LogLine.of("vm-connected")
              .with("vm", report.getVm())
              .with("worker", report.getWorker())
              .with("peer", connection));
    } else {
      if (!session.report().getWorker().equals(report.getWorker())) {
        fleet.reset(report.getVm());
      }
      session.update(report, loop.now());
    }
    // Its only connection, if the newest of the VM was one from before that was read late.
    sessionsByVm.putIfAbsent(report.getVm(), session);
    if (sessionsByVm.get(report.getVm()) != session) {
      return;
    }
    reconcile(session, report);
    if (report.getWantsLease()) {
      fleet.recordImages(report.getVm(), ImageEvidenceCodec.decode(report.getImagesList()));
      grantLease(session);
    }
    listener.capacityChanged();
  }

  private void reconcile(VmSession session, VmReport report) {
    Set<RunKey> mentioned = new HashSet<>();
    for (EndReport end : report.getEndsList()) {
      mentioned.add(WorkflowCodec.decode(end.getTask()));
      handleEnd(session, end);
    }
    for (RunReport run : report.getRunsList()) {
      RunKey key = WorkflowCodec.decode(run.getTask());
      mentioned.add(key);
      reconcileRun(session, report, openRuns.find(report.getVm(), key), key, run);
    }
    for (OpenRun run : openRuns.onVm(report.getVm())) {
      if (!run.task().isOpen() || mentioned.contains(run.task().openRun())) {
        continue;
      }
      Place place = run.task().place().orElseThrow();
      if (isWorkerGone(place, report)) {
        closeRun(run, RunOutcome.LOST, "", "its worker is gone");
      } else if (place.worker().equals(report.getWorker())
          && run.isDurable()
          && run.isOrderHandled(session, report.getOrdersSeen())) {
        sendOrder(run, place);
      }
    }
  }

  private static boolean isWorkerGone(Place place, VmReport report) {
    return place.worker().equals(report.getGoneWorker())
        || (!report.getWorker().isEmpty() && !place.worker().equals(report.getWorker()));
  }

  private void reconcileRun(
      VmSession session, VmReport report, Optional<OpenRun> found, RunKey key, RunReport run) {
    if (found.isEmpty() || !isOnWorker(found.get(), report.getWorker())) {
      stopUnknownRun(session, key, run.getStopping());
      return;
    }
    OpenRun open = found.get();
    if (run.getStarted()) {
      boolean first = !open.task().workflow().hasStarted();
      open.task().recordProgress(run.getCheckpoint(), run.getPercent());
      fleet.recordProgress(open, report.getVm(), run.getPercent(), loop.now());
      if (first) {
        open.partition().persist(open.task().workflow());
      }
    }
    if (open.shouldStop()) {
      sendStop(session, open);
    } else if (run.getSizeUnknown()
        && open.isDurable()
        && open.isOrderHandled(session, report.getOrdersSeen())) {
      // A restarted side process finds the run on its worker and cannot know what to book for it.
      sendOrder(open, open.task().place().orElseThrow());
    }
  }

  private static boolean isOnWorker(OpenRun run, String worker) {
    return run.task().place().filter(place -> place.worker().equals(worker)).isPresent();
  }

  private void stopUnknownRun(VmSession session, RunKey key, boolean stopping) {
    Optional<OwnedPartition> partition = ownership.active(partitionOf(key));
    if (partition.isEmpty() || !partition.get().isCaughtUp() || stopping) {
      return;
    }
    if (hasGangCompleted(partition.get(), key)) {
      return;
    }
    LOG.info(LogLine.of("run-unexpected").with("run", key).with("vm", session.vm()));
    session.addStop(key);
    scheduleFlush();
  }

  /** One member's end was told first; the others' ends are on their way, and need no stop. */
  private static boolean hasGangCompleted(OwnedPartition partition, RunKey key) {
    return partition
        .workflow(key.task().workflow())
        .flatMap(workflow -> workflow.task(key.task()))
        .filter(task -> task.step().traits().gang() && task.isDone())
        .filter(task -> task.lastAttempt() == key.attempt())
        .isPresent();
  }

  private int partitionOf(RunKey key) {
    return ownership.partitionOf(key.task().workflow());
  }

  private void handleEnd(VmSession session, EndReport end) {
    RunKey key = WorkflowCodec.decode(end.getTask());
    Optional<OwnedPartition> found = ownership.active(partitionOf(key));
    if (found.isEmpty()) {
      return;
    }
    OwnedPartition partition = found.get();
    openRuns
        .find(session.vm(), key)
        .filter(run -> run.task().isOpen() && run.task().openRun().equals(key))
        .ifPresent(
            run ->
                closeRun(
                    run,
                    RunOutcome.forNumber(end.getOutcome()),
                    end.getCheckpoint(),
                    end.getReason()));
    endAcknowledger.acknowledgeWhenSafe(
        partition,
        key,
        session.vm(),
        () -> {
          session.addAcknowledgedEnd(end.getTask());
          scheduleFlush();
        });
  }

  private void closeRun(OpenRun run, RunOutcome outcome, String checkpoint, String reason) {
    WorkflowTask task = run.task();
    RunKey key = task.openRun();
    Place place = task.place().orElseThrow();
    Workflow workflow = task.workflow();
    // First of all: a run that stays open in its workflow would never be ordered or noted again.
    boolean ended = workflow.recordEnd(key, outcome, checkpoint, wallMillis.getAsLong());
    openRuns.remove(place.vm(), key);
    fleet.recordEnd(run, place.vm(), outcome, loop.now());
    if (!ended) {
      return;
    }
    LOG.info(
        LogLine.of("run-ended")
            .with("run", key)
            .with("vm", place.vm())
            .with("outcome", outcome)
            .with("reason", reason)
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - run.orderedAt()))
            .with("status", workflow.status()));
    run.partition().persist(workflow);
    if (task.step().traits().gang()) {
      endGangAttempt(task);
    }
    listener.runEnded(run.partition(), task, outcome);
  }

  /** One member's end is the end of the others too, or makes their attempt worth nothing. */
  private void endGangAttempt(WorkflowTask ended) {
    Workflow workflow = ended.workflow();
    openRuns.removeEnded(workflow);
    stopUnwanted(workflow);
  }

  /** Answers a report that asks for a lease, with the orders that wait. */
  private void grantLease(VmSession session) {
    session.flush(
        leaseGrant(session).toBuilder()
            .addAllImages(ImageEvidenceCodec.encode(fleet.imagesOfOtherVms(session.vm())))
            .build());
  }

  private LeaseGrant leaseGrant(VmSession session) {
    LeaseGrant.Builder lease =
        LeaseGrant.newBuilder().setWorkerClock(session.report().getWorkerClock());
    for (OwnedPartition partition : ownership.active()) {
      if (partition.writer().hasEvidence()) {
        long after = partition.writer().evidenceAt() - session.reportedAt();
        lease.addEvidence(
            PartitionEvidence.newBuilder()
                .setPartition(partition.number())
                .setEpoch(partition.epoch())
                .setAfterReportMillis((int) Math.floorDiv(after, 1_000_000L)));
      }
    }
    if (session.place().isPresent()) {
      lastLeaseGrantAt.put(session.vm(), loop.now());
    }
    return lease.build();
  }

  private void scheduleFlush() {
    if (!flushScheduled) {
      flushScheduled = true;
      loop.runLater(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    for (VmSession session : sessions.values()) {
      if (session.hasPendingOrders()) {
        session.flush(leaseGrant(session));
      }
    }
  }

  /** Forgets a connection. */
  void disconnected(LinkConnection connection, String reason) {
    VmSession session = sessions.remove(connection);
    if (session == null) {
      return;
    }
    sessionsByVm.remove(session.vm(), session);
    LOG.info(LogLine.of("vm-disconnected").with("vm", session.vm()).with("reason", reason));
  }

  /**
   * Counts runs as over on VMs that are out of reach or know no worker, once every lease that they
   * can have is.
   *
   * <p>Guards against a task in two places: a VM that is cut off goes on with what it runs until
   * its worker's deadline, which rests on what this entry last sent it, or a former owner before
   * this one shut it out. A side process that was restarted beside a dead worker hears of none, and
   * extends no lease.
   */
  void closeExpiredRuns() {
    long now = loop.now();
    for (String vm : openRuns.vms()) {
      VmSession session = sessionsByVm.get(vm);
      boolean tellsOfWorker = session != null && session.place().isPresent();
      if (tellsOfWorker && now - session.reportedAt() < VmAvailability.UNRESPONSIVE_NANOS) {
        continue;
      }
      long granted = lastLeaseGrantAt.getOrDefault(vm, Long.MIN_VALUE);
      for (OpenRun run : openRuns.onVm(vm)) {
        long since = Math.max(granted, run.partition().writer().openedAt());
        long over = since + TimeUnit.MILLISECONDS.toNanos(terms.takeoverMillis());
        if (run.task().isOpen() && now > Math.max(over, run.orderedAt())) {
          closeRun(run, RunOutcome.LOST, "", "its VM is out of reach and its lease over");
        }
      }
    }
  }

  VmView view() {
    return view;
  }

  /** Returns the VMs that may be given work now. */
  List<VmOffer> offers() {
    List<VmOffer> offers = new ArrayList<>();
    for (VmSession session : sessionsByVm.values()) {
      if (view.availability(session) == VmAvailability.OFFERED) {
        offers.add(session.offer(openRuns.onVm(session.vm()), fleet, loop.now()));
      }
    }
    return offers;
  }

  /** Returns how harmful the image is believed to be to tasks that serve, from 0 to 1. */
  double interferenceOf(String image) {
    return fleet.interferenceOf(image);
  }

  /** Returns how many open runs of the step and occurrence are on the VM. */
  int openRunsOfStep(String vm, WorkflowTask task) {
    return openRuns.countOfStep(vm, task);
  }

  /** Returns a rack where tasks of the step and occurrence are at work, or empty. */
  String rackOfStep(WorkflowTask task) {
    return task.workflow().tasksOf(task.key().occurrence(), task.key().step()).stream()
        .flatMap(sibling -> sibling.place().stream())
        .map(place -> sessionsByVm.get(place.vm()))
        .filter(Objects::nonNull)
        .map(session -> session.report().getRack())
        .findFirst()
        .orElse("");
  }

  /** Returns all open runs on VMs whose workers leave. */
  ImmutableList<OpenRun> runsOnDrainingVms() {
    return runsOn(VmReport::getDraining);
  }

  /** Returns the open runs that are too many beside the services of their VMs. */
  ImmutableList<OpenRun> excessRuns() {
    ImmutableList.Builder<OpenRun> crowded = ImmutableList.builder();
    for (VmSession session : sessionsByVm.values()) {
      session.report().getRunsList().stream()
          .filter(RunReport::getCrowded)
          .flatMap(run -> openRuns.find(session.vm(), WorkflowCodec.decode(run.getTask())).stream())
          .forEach(crowded::add);
    }
    return crowded.build();
  }

  /** Returns all open runs that fill on VMs where such tasks may work at the share at most. */
  ImmutableList<OpenRun> runsThrottledTo(int percent) {
    return runsOn(report -> report.getServing() > 0 && report.getFillPercent() <= percent).stream()
        .filter(run -> run.task().step().traits().bestEffort())
        .filter(run -> fleet.isInterfering(run.task()))
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<OpenRun> runsOn(Predicate<VmReport> vms) {
    ImmutableList.Builder<OpenRun> runs = ImmutableList.builder();
    for (VmSession session : sessionsByVm.values()) {
      if (vms.test(session.report())) {
        runs.addAll(openRuns.onVm(session.vm()));
      }
    }
    return runs.build();
  }

  /** Returns the connections of all side processes. */
  Set<LinkConnection> connections() {
    return sessions.keySet();
  }
}
