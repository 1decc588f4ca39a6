package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.primitives.Ints;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkerIncarnation;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowTask;
import io.marigoldsail.workflow.ZoneEvacuations;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Tracks the VMs that report to this entry and reconciles the runs that it owns with the reports.
 *
 * <p>Each report contains the whole state of a VM as far as this entry owns it, so a lost
 * connection, a restart and a new owner need no protocol of their own: a run that the owner expects
 * and a report lacks is ordered again, and a run that a report contains and no owner expects is
 * stopped. Orders name the attempt, and a worker executes each attempt at most once.
 *
 * <p>Confined to the loop's thread.
 */
final class VmTracker {
  private static final EventLog LOG = EventLog.of(VmTracker.class);

  /** Minimum interval between two orders to stop the same run, in nanoseconds. */
  private static final long STOP_RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final int MAX_PERCENT = 100;

  /** Notified of changes that reports cause, and asked before starts; runs on the loop. */
  interface Listener {
    /** Called when a run has ended; its task may be waiting again. */
    void runEnded(OwnedPartition partition, WorkflowTask task, RunOutcome outcome);

    /** Called when the free capacity of a VM may have changed. */
    void capacityChanged();

    /** Returns whether a start may be sent; one that is not is sent after a later report. */
    boolean mayOrder();
  }

  private final LinkLoop loop;
  private final PartitionOwnership ownership;
  private final WorkerLeaseTerms leaseTerms;
  private final LeaseGranter granter;
  private final Listener listener;
  private final LongSupplier wallMillis;
  private final Map<LinkConnection, VmSession> sessions = new HashMap<>();
  private final Map<String, VmSession> sessionsByVm = new LinkedHashMap<>();
  private final OpenRuns openRuns = new OpenRuns();
  private final FleetStatistics fleet = new FleetStatistics();
  private final InterferenceExchange interference = new InterferenceExchange(fleet);
  private final VmView view;
  private final RunEndAcknowledger endAcknowledger;
  private final OwnerOrderLog orderLog;
  private final UnexpectedRuns unexpectedRuns;
  private final CapacityDemand demand = new CapacityDemand();
  private final KnownEvacuations evacuations = new KnownEvacuations();
  private final ItemGuard guard = new ItemGuard(LOG, "run-not-reconciled");
  private boolean flushScheduled;

  VmTracker(
      LinkLoop loop,
      PartitionOwnership ownership,
      WorkerLeaseTerms leaseTerms,
      LongSupplier wallMillis,
      Listener listener) {
    this.loop = requireNonNull(loop, "loop");
    this.ownership = requireNonNull(ownership, "ownership");
    this.leaseTerms = requireNonNull(leaseTerms, "leaseTerms");
    this.wallMillis = requireNonNull(wallMillis, "wallMillis");
    this.listener = requireNonNull(listener, "listener");
    this.view = new VmView(loop, sessionsByVm, openRuns, fleet, evacuations);
    this.endAcknowledger = new RunEndAcknowledger(loop);
    this.orderLog = new OwnerOrderLog(loop);
    this.unexpectedRuns = new UnexpectedRuns(orderLog, this::scheduleFlush);
    this.granter = new LeaseGranter(loop, ownership, demand, evacuations);
  }

  /** Starts to track the runs that former owners of the partition ordered. */
  void partitionActivated(OwnedPartition partition) {
    for (Workflow workflow : partition.workflows()) {
      for (WorkflowTask task : workflow.openTasks()) {
        guard.run(
            task.key()::toString,
            () -> openRuns.add(OpenRun.takenOver(partition, task, loop.now())));
      }
    }
  }

  /** Stops tracking the runs of a partition that another process owns. */
  void partitionLost(OwnedPartition partition) {
    unexpectedRuns.partitionLost(partition);
    openRuns.removePartition(partition);
  }

  /** Tracks new runs of one workflow, at least one; orders them once the decision is durable. */
  void addOrdered(OwnedPartition partition, List<OpenRun> decided) {
    decided.forEach(openRuns::add);
    partition.persist(decided.get(0).task().workflow());
    partition.writer().afterDurable(() -> decided.forEach(this::orderDurable));
  }

  private void orderDurable(OpenRun run) {
    if (run.isOpen() && !run.partition().isDurable(run.task().key())) {
      closeRun(run, RunOutcome.REFUSED, "", line -> line.with("reason", "attempt not durable"));
      return;
    }
    run.markDurable();
    if (run.isOpen()) {
      sendOrder(run);
    }
  }

  private void sendOrder(OpenRun run) {
    Place place = run.place();
    VmSession session = sessionsByVm.get(place.vm());
    if (session == null
        || !WorkerIncarnation.mayBeSame(session.report().getWorker(), place.worker())) {
      return;
    }
    if (run.shouldStop()) {
      sendStop(session, run);
    } else if (listener.mayOrder()) {
      sendStart(session, run);
    }
  }

  private void sendStart(VmSession session, OpenRun run) {
    orderLog.startSent(run, session);
    run.orderSent(session, session.addStart(run));
    scheduleFlush();
  }

  private void sendStop(VmSession session, OpenRun run) {
    if (run.tryMarkStopSent(loop.now(), STOP_RESEND_NANOS)) {
      orderLog.stopSent(run, session);
      session.addStop(run.key());
      scheduleFlush();
    }
  }

  private void sendStopOrDefer(Optional<VmSession> session, OpenRun run) {
    session.ifPresentOrElse(each -> sendStop(each, run), () -> orderLog.stopDeferred(run));
  }

  /** Puts newer evacuations of zones in force and passes them on to the side processes. */
  void evacuate(ZoneEvacuations newest) {
    if (evacuations.update(newest, "the operator")) {
      sessions.values().forEach(granter::grant);
    }
  }

  /** Sends stops for the durable open runs of the workflow that should not run any more. */
  void stopUnwanted(Workflow workflow) {
    for (WorkflowTask task : workflow.openTasks()) {
      Place place = task.place().orElseThrow();
      Optional<VmSession> session = Optional.ofNullable(sessionsByVm.get(place.vm()));
      openRuns
          .find(place.vm(), task.openRun())
          .filter(run -> run.isDurable() && run.shouldStop())
          .ifPresent(run -> sendStopOrDefer(session, run));
    }
  }

  /** Handles a report from a side process. */
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
    // The first report of an older connection may have been read late and have replaced this
    // session; once that connection has ended, this session is the only one of the VM.
    sessionsByVm.putIfAbsent(report.getVm(), session);
    if (sessionsByVm.get(report.getVm()) != session) {
      return;
    }
    reconcile(session, report);
    if (report.getWantsLease()) {
      interference.record(report, loop.now());
      granter.grant(session, interference.evidenceFor(session, loop.now()));
    }
    listener.capacityChanged();
  }

  private void reconcile(VmSession session, VmReport report) {
    Set<RunKey> mentioned = new HashSet<>();
    for (EndReport end : report.getEndsList()) {
      RunKey key = WorkflowIdCodec.decode(end.getTask());
      guard.run(key::toString, () -> handleEnd(session, key, end));
    }
    for (RunReport run : report.getRunsList()) {
      RunKey key = WorkflowIdCodec.decode(run.getTask());
      mentioned.add(key);
      Optional<OpenRun> found = openRuns.find(report.getVm(), key);
      guard.run(key::toString, () -> reconcileRun(session, report, found, key, run));
    }
    for (OpenRun run : openRuns.onVm(report.getVm())) {
      if (run.isOpen() && !mentioned.contains(run.key())) {
        guard.run(run.key()::toString, () -> reconcileMissingRun(session, run));
      }
    }
  }

  /** Handles an open run that the session's last report does not contain. */
  private void reconcileMissingRun(VmSession session, OpenRun run) {
    Place place = run.place();
    Optional<LossEvidence> lost = session.evidenceOfLoss(place.worker(), loop.now());
    if (lost.isPresent()) {
      closeLostRun(run, lost.get());
    } else if (!WorkerIncarnation.mayBeSame(place.worker(), session.report().getWorker())) {
      askForWorker(session, run);
    } else if (run.isDurable() && run.isOrderHandled(session, session.report().getOrdersSeen())) {
      sendOrder(run);
    }
  }

  /** Asks whether the run's worker is gone: the report may be older than that incarnation. */
  private void askForWorker(VmSession session, OpenRun run) {
    Place place = run.place();
    String reported = session.report().getWorker();
    if (!reported.isEmpty() && session.tryAsk(place.worker(), loop.now())) {
      LOG.info(
          LogLine.of("worker-queried")
              .with("run", run.key())
              .with("vm", place.vm())
              .with("worker", place.worker())
              .with("reported", reported)
              .with("epoch", run.partition().epoch()));
      scheduleFlush();
    }
  }

  private void reconcileRun(
      VmSession session, VmReport report, Optional<OpenRun> found, RunKey key, RunReport reported) {
    if (found.isEmpty() || !isOnWorker(found.get(), report.getWorker())) {
      stopUnknownRun(session, key, reported.getStopping());
      return;
    }
    OpenRun open = found.get();
    if (reported.getStarted()) {
      boolean first = !open.task().workflow().hasStarted();
      int percent = Ints.constrainToRange(reported.getPercent(), 0, MAX_PERCENT);
      open.task().recordProgress(reported.getCheckpoint(), percent);
      fleet.recordProgress(open, report.getVm(), percent, loop.now());
      if (first) {
        open.partition().persist(open.task().workflow());
      }
    }
    if (open.shouldStop()) {
      sendStop(session, open);
    } else if (reported.getSizeUnknown()
        && open.isDurable()
        && open.isOrderHandled(session, report.getOrdersSeen())) {
      // A restarted side process finds the run on its worker without its resource requests.
      sendStart(session, open);
    }
  }

  private static boolean isOnWorker(OpenRun run, String worker) {
    return run.isOpen() && WorkerIncarnation.mayBeSame(run.place().worker(), worker);
  }

  private void stopUnknownRun(VmSession session, RunKey key, boolean stopping) {
    if (!stopping) {
      ownership
          .active(partitionOf(key))
          .ifPresent(partition -> unexpectedRuns.handle(session, key, partition));
    }
  }

  private int partitionOf(RunKey key) {
    return ownership.partitionOf(key.task().workflow());
  }

  private void handleEnd(VmSession session, RunKey key, EndReport end) {
    Optional<OwnedPartition> partition = ownership.active(partitionOf(key));
    if (partition.isEmpty()) {
      return;
    }
    RunOutcome outcome = WorkflowCodec.outcome(end);
    openRuns
        .find(session.vm(), key)
        .filter(run -> isOnWorker(run, session.report().getWorker()))
        .ifPresentOrElse(
            run -> closeReportedRun(run, outcome, end),
            () -> recordLateEnd(partition.get(), session.vm(), key, end));
    endAcknowledger.respondWhenSafe(partition.get(), session, end, this::scheduleFlush);
  }

  /** Completes a task whose last attempt was considered over, unless another one was ordered. */
  private void recordLateEnd(OwnedPartition partition, String vm, RunKey key, EndReport end) {
    Optional<WorkflowTask> task = partition.task(key.task());
    long now = wallMillis.getAsLong();
    if (task.isPresent()
        && WorkflowCodec.outcome(end).completes()
        && task.get().workflow().recordLateCompletion(key, end.getCheckpoint(), now)) {
      LOG.info(
          LogLine.of("run-completed-late")
              .with("run", key)
              .with("vm", vm)
              .with("epoch", partition.epoch()));
      partition.persist(task.get().workflow());
      endGangAttempt(task.get());
      listener.runEnded(partition, task.get(), RunOutcome.DONE);
    }
  }

  private void closeReportedRun(OpenRun run, RunOutcome outcome, EndReport end) {
    closeRun(run, outcome, end.getCheckpoint(), line -> line.with("reason", end.getReason()));
  }

  private void closeLostRun(OpenRun run, LossEvidence evidence) {
    closeRun(
        run,
        RunOutcome.LOST,
        "",
        line ->
            evidence
                .appendTo(line.with("reason", evidence.kind().reason()))
                .with("epoch", run.partition().epoch()));
  }

  private void closeRun(
      OpenRun run, RunOutcome outcome, String checkpoint, UnaryOperator<LogLine> cause) {
    WorkflowTask task = run.task();
    RunKey key = run.key();
    Place place = run.place();
    Workflow workflow = task.workflow();
    // Comes first, in case a later step throws: a run that stays open in its workflow would never
    // be ordered or acknowledged again.
    boolean ended = workflow.recordEnd(key, outcome, checkpoint, wallMillis.getAsLong());
    openRuns.remove(run);
    fleet.recordEnd(run, place.vm(), outcome, loop.now());
    if (outcome == RunOutcome.REFUSED && sessionsByVm.containsKey(place.vm())) {
      sessionsByVm.get(place.vm()).recordRefusal(task, loop.now());
    }
    if (!ended) {
      return;
    }
    LogLine line =
        LogLine.of("run-ended").with("run", key).with("vm", place.vm()).with("outcome", outcome);
    LOG.info(
        cause
            .apply(line)
            .with("ms", TimeUnit.NANOSECONDS.toMillis(loop.now() - run.orderedAt()))
            .with("status", workflow.status()));
    run.partition().persist(workflow);
    endGangAttempt(task);
    listener.runEnded(run.partition(), task, outcome);
  }

  /**
   * Ends the attempt for all members if the task is in a gang: it has completed, or is useless
   * without the ended one.
   */
  private void endGangAttempt(WorkflowTask ended) {
    if (ended.step().traits().gang()) {
      openRuns.removeEnded(ended.workflow());
      stopUnwanted(ended.workflow());
    }
  }

  /** Records that a task waits for capacity; VMs then report changes of theirs soon. */
  void recordUnplaced() {
    if (demand.recordUnplaced(loop.now())) {
      sessions.values().forEach(granter::grant);
    }
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
        granter.grant(session);
      }
      if (session.hasPendingQuestions()) {
        granter.ask(session);
      }
    }
  }

  /** Removes a connection that has ended. */
  void disconnected(LinkConnection connection, String reason) {
    VmSession session = sessions.remove(connection);
    if (session == null) {
      return;
    }
    sessionsByVm.remove(session.vm(), session);
    LOG.info(LogLine.of("vm-disconnected").with("vm", session.vm()).with("reason", reason));
  }

  /**
   * Closes the runs on VMs that are unreachable or report no worker, once every lease that they may
   * hold has expired.
   *
   * <p>Closing them earlier could run a task twice at once: a disconnected VM continues its runs
   * until its worker's deadline, which depends on the last grant of this entry, or of a former
   * owner until this entry fenced it. A side process that was restarted after its worker died
   * reports no worker and extends no lease.
   */
  void closeExpiredRuns() {
    long now = loop.now();
    for (String vm : openRuns.vms()) {
      VmSession session = sessionsByVm.get(vm);
      boolean reportsWorker = session != null && session.place().isPresent();
      if (reportsWorker && now - session.reportedAt() < VmAvailability.UNRESPONSIVE_NANOS) {
        continue;
      }
      long granted = granter.grantedAt(vm);
      for (OpenRun run : openRuns.onVm(vm)) {
        long since = Math.max(granted, run.partition().writer().openedAt());
        long expiresAt = since + TimeUnit.MILLISECONDS.toNanos(leaseTerms.takeoverMillis());
        if (run.isOpen() && now > Math.max(expiresAt, run.orderedAt())) {
          LossEvidence expired = LossEvidence.of(LossEvidence.Kind.EXPIRED, now - since);
          guard.run(run.key()::toString, () -> closeLostRun(run, expired));
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
      if (!view.isEvacuated(session) && view.availability(session) == VmAvailability.OFFERED) {
        offers.add(session.offer(openRuns.onVm(session.vm()), fleet, loop.now()));
      }
    }
    return offers;
  }

  /** Returns the estimated interference of the image with services, from 0 to 1. */
  double interferenceOf(String image) {
    return fleet.interferenceOf(image);
  }

  /** Returns whether the side process reads owner maps that name each member once. */
  boolean readsMemberLists(LinkConnection connection) {
    VmSession session = sessions.get(connection);
    return session != null && session.report().getReadsMemberLists();
  }

  /** Returns the connections of all side processes. */
  Set<LinkConnection> connections() {
    return sessions.keySet();
  }
}
