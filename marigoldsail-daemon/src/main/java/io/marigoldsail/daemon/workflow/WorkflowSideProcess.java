package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.EntryConnections.EntryConnection;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerIncarnation;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The workflow component of a side process: executes the orders of owners on the worker of its VM
 * and reports the state of the VM and its runs to the entries.
 *
 * <p>Stores nothing durably: after a restart the worker lists its runs, and the owners send their
 * orders again. The public methods may be called from any thread; everything else runs on the loop.
 */
public final class WorkflowSideProcess {
  private static final EventLog LOG = EventLog.of(WorkflowSideProcess.class);

  /**
   * Interval of the periodic reports, which request a lease, to an entry that owns runs on the VM,
   * in nanoseconds.
   */
  static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Interval of the evidence on pairs of images to an entry, in nanoseconds. */
  private static final long PAIRS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The same for evidence by image, which goes with each report that requests a lease. */
  private static final long IMAGES_INTERVAL_NANOS = 0;

  private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final LinkLoop loop;
  private final String vm;
  private final int partitions;
  private final EntryConnections entries;
  final KnownEvacuations evacuations = new KnownEvacuations();
  private final ReportPacer pacer = new ReportPacer();
  private final ReportedStates reportedStates = new ReportedStates();
  private final PairReports interferenceReports;
  private final Set<Integer> changedPartitions = new HashSet<>();
  private final Set<EntryConnection> pendingReports = new HashSet<>();
  private final EarliestTimer pendingTimer;

  /** Connections that sent start or stop orders since the last periodic report to them. */
  private final Set<EntryConnection> orderedSinceReport = new HashSet<>();

  private final WorkerRegistration registration;
  private boolean reportScheduled;
  private boolean availabilityChanged;

  /**
   * Creates an inactive instance; {@link #start} activates it.
   *
   * @param loop the event loop of the process
   * @param store queried for the owners of partitions
   * @param gateway the client of the worker
   * @param vm the name of the VM
   * @param terms the durations of leases
   * @param scope how far a belief about the interference of a best-effort image extends
   */
  public WorkflowSideProcess(
      LinkLoop loop,
      WorkflowStore store,
      WorkerGateway gateway,
      String vm,
      WorkerLeaseTerms terms,
      InterferenceScope scope) {
    this.loop = requireNonNull(loop, "loop");
    this.vm = requireNonNull(vm, "vm");
    this.partitions = store.partitions();
    this.entries = new EntryConnections(loop, store, new EntryListener());
    this.registration =
        new WorkerRegistration(
            loop,
            gateway,
            store.partitions(),
            terms,
            scope,
            new SessionListener(),
            () -> report(true));
    this.interferenceReports =
        new PairReports(
            scope == InterferenceScope.PER_PAIR ? PAIRS_INTERVAL_NANOS : IMAGES_INTERVAL_NANOS);
    this.pendingTimer = new EarliestTimer(loop, this::reportPending);
  }

  /** Starts connecting to the entries and sending them periodic reports. */
  public void start() {
    loop.run(entries::maintain);
    loop.repeat(entries::maintain, TICK_INTERVAL_NANOS);
    loop.repeat(this::reportPeriodically, REPORT_INTERVAL_NANOS);
  }

  /**
   * Handles a heartbeat of the worker.
   *
   * @return completes on the loop with whether the heartbeat was accepted, so that its content is
   *     in effect
   */
  public CompletableFuture<Boolean> heartbeat(WorkerHeartbeat heartbeat) {
    CompletableFuture<Boolean> accepted = new CompletableFuture<>();
    loop.run(() -> registration.heartbeat(heartbeat, accepted));
    return accepted;
  }

  /**
   * Handles the deregistration of a worker, which may still be up and run on; it may be repeated.
   *
   * @return completes on the loop with {@code true}, soon and once no run is active if possible
   */
  public CompletableFuture<Boolean> workerDeregistered(String worker) {
    CompletableFuture<Boolean> handled = new CompletableFuture<>();
    loop.run(() -> registration.deregister(worker).thenAccept(handled::complete));
    return handled;
  }

  private WorkerSession session() {
    return registration.session();
  }

  private void scheduleReport() {
    if (!reportScheduled) {
      reportScheduled = true;
      loop.runLater(
          () -> {
            reportScheduled = false;
            reportChanges();
          });
    }
  }

  private void reportChanges() {
    VmReport state = vmState();
    for (EntryConnection connection : entries.connections()) {
      boolean affected = isAffected(connection);
      if (!affected && reportedStates.isUpToDate(connection.member(), state)) {
        pendingReports.remove(connection);
      } else if (isDue(connection, affected)) {
        report(connection, state, false);
      } else {
        pendingReports.add(connection);
      }
    }
    changedPartitions.clear();
    availabilityChanged = false;
    schedulePending();
  }

  private boolean isAffected(EntryConnection connection) {
    return availabilityChanged
        || changedPartitions.stream()
            .anyMatch(partition -> entries.owns(connection.member(), partition));
  }

  private boolean isDue(EntryConnection connection, boolean affected) {
    return dueAt(connection, affected) <= loop.now();
  }

  private long dueAt(EntryConnection connection, boolean affected) {
    return pacer.dueAt(
        connection.member(),
        affected,
        connection.needsCapacity(),
        entries.connectedCount(),
        loop.now());
  }

  private void schedulePending() {
    if (pendingReports.isEmpty()) {
      return;
    }
    long next = pendingReports.stream().mapToLong(each -> dueAt(each, false)).min().getAsLong();
    pendingTimer.request(next + ReportPacer.coalescingNanos(entries.connectedCount()));
  }

  private void reportPending() {
    VmReport state = vmState();
    for (EntryConnection connection : Set.copyOf(pendingReports)) {
      if (reportedStates.isUpToDate(connection.member(), state)) {
        pendingReports.remove(connection);
      } else if (isDue(connection, false)) {
        report(connection, state, false);
      }
    }
    schedulePending();
  }

  private void reportPeriodically() {
    pacer.beginRound();
    VmReport state = vmState();
    for (EntryConnection connection : entries.connections()) {
      boolean owns = orderedSinceReport.contains(connection) || ownsAny(connection);
      if (pacer.isPeriodicReportDue(connection.member(), owns)) {
        report(connection, state, true);
      }
    }
  }

  private boolean ownsAny(EntryConnection connection) {
    return session() != null
        && (session().runs().stream().anyMatch(run -> owns(connection, run.partition()))
            || session().ends().stream().anyMatch(end -> owns(connection, partitionOf(end))));
  }

  private boolean owns(EntryConnection connection, int partition) {
    return entries.owns(connection.member(), partition);
  }

  private int partitionOf(EndReport end) {
    return session().partitionOf(WorkflowIdCodec.decode(end.getTask()));
  }

  private void report(boolean wantsLease) {
    VmReport state = vmState();
    for (EntryConnection connection : entries.connections()) {
      report(connection, state, wantsLease);
    }
  }

  private void report(EntryConnection connection, VmReport state, boolean wantsLease) {
    if (wantsLease) {
      pacer.periodicReportSent(connection.member(), loop.now());
      orderedSinceReport.remove(connection);
    } else {
      pacer.reportSent(connection.member(), loop.now());
    }
    reportedStates.record(connection.member(), state);
    pendingReports.remove(connection);
    VmReport.Builder report =
        state.toBuilder()
            .setOrdersSeen(connection.ordersSeen())
            .setOwnersFingerprint(entries.ownersFingerprint())
            .setOwnersDigest(entries.legacyOwnersDigest())
            .setWantsLease(wantsLease);
    if (session() != null) {
      report.setWorkerClock(session().workerClockLowerBound());
      if (wantsLease && interferenceReports.tryAcquire(connection.member(), loop.now())) {
        report.addAllPairs(
            PairEvidenceCodec.encode(
                interferenceReports.changes(
                    connection.member(), session().throttler().localPairEvidence()),
                image -> true));
        report.addAllImages(ImageEvidenceCodec.encode(session().throttler().localEvidence()));
      }
      for (SideRun run : session().runs()) {
        if (owns(connection, run.partition()) || isOfUnknownIncarnation(run)) {
          report.addRuns(run.report());
        }
      }
      for (EndReport end : session().ends()) {
        if (owns(connection, partitionOf(end))) {
          report.addEnds(end);
        }
      }
    }
    connection.send(report.build());
  }

  /**
   * Returns whether the run may have been ordered for an earlier incarnation of the worker. All
   * entries are told of it: one that is not known as the owner yet would conclude from the
   * incarnation alone that the run is over.
   */
  private boolean isOfUnknownIncarnation(SideRun run) {
    return run.order().isEmpty() && WorkerIncarnation.parse(session().worker()).birth().isPresent();
  }

  /** Returns the fields of a report that are equal for all entries, but not clock and images. */
  private VmReport vmState() {
    VmReport.Builder state =
        VmReport.newBuilder()
            .setVm(vm)
            .setGoneWorker(registration.goneWorker())
            .setReadsMemberLists(true)
            .setReadsTextIds(true);
    if (session() != null) {
      VmStateEncoder.encode(session(), state);
    }
    return state.build();
  }

  /**
   * Handles a lease and orders, which are valid for one worker incarnation only.
   *
   * <p>A lease in transit while the worker restarts refers to the clock of the previous
   * incarnation. If that clock was ahead, the lease of the new incarnation would never expire, and
   * its runs would count as active forever once it stops responding. So frames for another
   * incarnation are ignored.
   */
  private void handleOrders(EntryConnection connection, RunOrders orders) {
    boolean neededBefore = connection.needsCapacity();
    connection.recordOrders(orders.getNumber(), !orders.getCapacityUnneeded());
    if (connection.needsCapacity() && !neededBefore) {
      scheduleReport();
    }
    if (evacuations.update(WorkflowCodec.decode(orders.getEvacuations()), connection.member())) {
      availabilityChanged = true;
      scheduleReport();
    }
    if (session() == null) {
      // The next report names the worker at that time, and owners then send missing orders again.
      return;
    }
    if (!orders.getWorker().equals(session().worker())) {
      LOG.info(
          LogLine.of("orders-passed-over")
              .with("member", connection.member())
              .with("worker", orders.getWorker())
              .with("current", session().worker()));
      report(connection, vmState(), false);
      return;
    }
    Map<Integer, Boolean> fromOwner = recordEvidence(orders.getLease());
    if (orders.getLease().getImagesCount() > 0) {
      session()
          .throttler()
          .setRemoteEvidence(ImageEvidenceCodec.decode(orders.getLease().getImagesList()));
    }
    if (orders.getLease().getPairsCount() > 0) {
      session()
          .throttler()
          .setRemotePairEvidence(PairEvidenceCodec.decode(orders.getLease().getPairsList()));
    }
    Map<WorkflowId, String> programs = new HashMap<>();
    for (StartRun start : orders.getStartsList()) {
      RunKey key = WorkflowIdCodec.decode(start.getTask());
      if (!start.getSameProgram()) {
        programs.put(key.task().workflow(), start.getProgram());
      }
      if (isFromOwner(fromOwner, key) && hasProgram(programs, key)) {
        session().start(key, start, programs.get(key.task().workflow()));
      }
    }
    for (WorkflowTaskId stop : orders.getStopsList()) {
      RunKey key = WorkflowIdCodec.decode(stop);
      if (isFromOwner(fromOwner, key)) {
        session().stop(key);
      }
    }
    respondToEnds(fromOwner, orders.getSupersededEndsList(), EndResponse.SUPERSEDED);
    respondToEnds(
        fromOwner,
        orders.getNotedEndsList(),
        orders.getTellsSupersededEnds() ? EndResponse.SETTLED : EndResponse.ACKNOWLEDGED);
  }

  private void respondToEnds(
      Map<Integer, Boolean> fromOwner, List<WorkflowTaskId> ends, EndResponse response) {
    for (WorkflowTaskId end : ends) {
      RunKey key = WorkflowIdCodec.decode(end);
      if (isFromOwner(fromOwner, key) && isForCurrentEnd(end)) {
        session().respondToEnd(key, response);
      }
    }
  }

  private boolean isForCurrentEnd(WorkflowTaskId end) {
    return session().retention().isCurrent(WorkflowIdCodec.decode(end), end.getEndSequence());
  }

  private boolean isFromOwner(Map<Integer, Boolean> fromOwner, RunKey key) {
    boolean valid = fromOwner.getOrDefault(session().partitionOf(key), false);
    if (!valid) {
      LOG.info(
          LogLine.of("order-passed-over")
              .with("run", key)
              .with("reason", "its sender does not own the partition"));
    }
    return valid;
  }

  /**
   * Returns whether the frame names the program of the run; without it, another one would start.
   */
  private static boolean hasProgram(Map<WorkflowId, String> programs, RunKey key) {
    boolean named = programs.containsKey(key.task().workflow());
    if (!named) {
      LOG.warning(
          LogLine.of("order-passed-over")
              .with("run", key)
              .with("reason", "its frame does not name the program"));
    }
    return named;
  }

  /**
   * Records the evidence; returns for each partition whether it has the highest epoch so far.
   * Evidence of a partition or an epoch that cannot exist is ignored.
   */
  private Map<Integer, Boolean> recordEvidence(LeaseGrant grant) {
    Map<Integer, Boolean> fromOwner = new HashMap<>();
    for (PartitionEvidence evidence : grant.getEvidenceList()) {
      if (evidence.getPartition() < 0
          || evidence.getPartition() >= partitions
          || evidence.getEpoch() < 0
          || evidence.getEpoch() > PartitionOwnership.MAX_EPOCH) {
        continue;
      }
      long at = grant.getWorkerClock() + evidence.getAfterReportMillis();
      boolean newest = session().recordEvidence(evidence.getPartition(), evidence.getEpoch(), at);
      fromOwner.put(evidence.getPartition(), newest);
    }
    return fromOwner;
  }

  /** Handles connections and orders of entries. */
  private final class EntryListener implements EntryConnections.Listener {
    @Override
    public void connected(EntryConnection connection) {
      report(connection, vmState(), true);
    }

    @Override
    public void disconnected(EntryConnection connection) {
      pacer.remove(connection.member());
      interferenceReports.remove(connection.member());
      reportedStates.remove(connection.member());
      pendingReports.remove(connection);
      orderedSinceReport.remove(connection);
    }

    @Override
    public void received(EntryConnection connection, Frame frame) {
      if (frame.hasRunOrders()) {
        RunOrders orders = frame.getRunOrders();
        if (orders.getStartsCount() + orders.getStopsCount() > 0) {
          orderedSinceReport.add(connection);
        }
        handleOrders(connection, orders);
      }
    }

    @Override
    public void ownersChanged() {
      report(true);
    }
  }

  /** Reports changes of the current worker session. */
  private final class SessionListener implements WorkerSessionListener {
    @Override
    public void availabilityChanged() {
      availabilityChanged = true;
      scheduleReport();
    }

    @Override
    public void capacityChanged() {
      scheduleReport();
    }

    @Override
    public boolean isEvacuated(String zone) {
      return evacuations.includes(zone);
    }

    @Override
    public void runChanged(int partition) {
      changedPartitions.add(partition);
      scheduleReport();
    }

    @Override
    public void workerSucceeded(WorkerSession succeeded, String successor) {
      registration.succeeded(succeeded, successor);
    }

    @Override
    public void sessionEnded(WorkerSession ended) {
      if (registration.ended(ended)) {
        report(true);
      }
    }
  }
}
