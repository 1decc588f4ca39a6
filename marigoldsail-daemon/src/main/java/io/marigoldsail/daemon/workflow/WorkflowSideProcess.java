package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.EntryConnections.EntryConnection;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A side process's part in workflows: carries out owners' orders on the worker of its VM and tells
 * them what becomes of it.
 *
 * <p>Keeps nothing: after a restart it finds what runs by asking the worker, and owners tell it the
 * rest. The public methods may be called from any thread; everything else runs on the loop.
 */
public final class WorkflowSideProcess {
  private static final EventLog LOG = EventLog.of(WorkflowSideProcess.class);

  /** Between two reports that ask for a lease, to an entry that owns runs here, in nanoseconds. */
  static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String vm;
  private final int partitions;
  private final WorkerLeaseTerms terms;
  private final EntryConnections entries;
  private WorkerSession session;
  private String goneWorker = "";
  private final ReportPacer pacer = new ReportPacer();
  private final ReportedStates reportedStates = new ReportedStates();
  private final Set<Integer> changedPartitions = new HashSet<>();
  private final Set<EntryConnection> pendingReports = new HashSet<>();

  /** Those that ordered something since their last regular report. */
  private final Set<EntryConnection> orderedSinceReport = new HashSet<>();

  private boolean probeInFlight;
  private boolean reportScheduled;
  private boolean pendingScheduled;
  private boolean availabilityChanged;

  /**
   * Creates a side process that does nothing yet.
   *
   * @param loop the process's loop
   * @param store asked for the owners
   * @param gateway the worker
   * @param vm the VM's name
   * @param terms the lengths of leases
   */
  public WorkflowSideProcess(
      LinkLoop loop,
      WorkflowStore store,
      WorkerGateway gateway,
      String vm,
      WorkerLeaseTerms terms) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.vm = requireNonNull(vm, "vm");
    this.partitions = store.partitions();
    this.terms = requireNonNull(terms, "terms");
    this.entries = new EntryConnections(loop, store, new EntryListener());
  }

  /** Begins to look for entries. */
  public void start() {
    loop.run(entries::maintain);
    loop.repeat(entries::maintain, TICK_INTERVAL_NANOS);
    loop.repeat(this::reportPeriodically, REPORT_INTERVAL_NANOS);
  }

  /**
   * Takes a heartbeat of the worker.
   *
   * @return completes on the loop with whether it was taken, and what it says is in force
   */
  public CompletableFuture<Boolean> heartbeat(WorkerHeartbeat heartbeat) {
    CompletableFuture<Boolean> taken = new CompletableFuture<>();
    loop.run(() -> handleHeartbeat(heartbeat, taken));
    return taken;
  }

  private void handleHeartbeat(WorkerHeartbeat heartbeat, CompletableFuture<Boolean> taken) {
    if (session != null && session.worker().equals(heartbeat.worker())) {
      if (heartbeat.sequence() >= session.heartbeat().sequence()) {
        session.heartbeat(heartbeat);
      }
      taken.complete(true);
      return;
    }
    if (heartbeat.worker().equals(goneWorker) || probeInFlight) {
      // A heartbeat may arrive long after its sender ended; one of a living worker is repeated.
      taken.complete(false);
      return;
    }
    probeInFlight = true;
    gateway
        .list(heartbeat.worker(), OptionalLong.empty(), 0, 0)
        .thenAccept(result -> loop.run(() -> handleProbeResult(heartbeat, result, taken)));
  }

  private void handleProbeResult(
      WorkerHeartbeat heartbeat, ListingResult result, CompletableFuture<Boolean> taken) {
    probeInFlight = false;
    if (!(result instanceof Listing listing)) {
      LOG.info(
          LogLine.of("heartbeat-passed-over")
              .with("worker", heartbeat.worker())
              .with("sequence", heartbeat.sequence())
              .with("reason", result));
      taken.complete(false);
      return;
    }
    if (session != null) {
      session.end("another one took its place");
    }
    session =
        new WorkerSession(
            loop, gateway, heartbeat, listing, partitions, terms, new SessionListener());
    LOG.info(
        LogLine.of("worker-found")
            .with("worker", heartbeat.worker())
            .with("service", heartbeat.service())
            .with("labels", heartbeat.labels())
            .with("running", listing.running().size())
            .with("draining", heartbeat.draining()));
    session.start();
    report(true);
    taken.complete(true);
  }

  /** Takes the leave of a worker; completes on the loop. */
  public CompletableFuture<Boolean> workerDeregistered(String worker) {
    CompletableFuture<Boolean> taken = new CompletableFuture<>();
    loop.run(
        () -> {
          if (session != null && session.worker().equals(worker)) {
            session.end("it left");
          }
          taken.complete(true);
        });
    return taken;
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
      boolean concerned = isAffected(connection);
      if (!concerned && reportedStates.isUpToDate(connection.member(), state)) {
        pendingReports.remove(connection);
      } else if (isDue(connection, concerned)) {
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

  private boolean isDue(EntryConnection connection, boolean concerned) {
    return dueAt(connection, concerned) <= loop.now();
  }

  private long dueAt(EntryConnection connection, boolean concerned) {
    return pacer.dueAt(connection.member(), concerned, entries.connectedCount(), loop.now());
  }

  private void schedulePending() {
    if (pendingScheduled || pendingReports.isEmpty()) {
      return;
    }
    pendingScheduled = true;
    long next = pendingReports.stream().mapToLong(each -> dueAt(each, false)).min().getAsLong();
    long gathered = ReportPacer.coalescingNanos(entries.connectedCount());
    loop.schedule(this::reportPending, next + gathered - loop.now());
  }

  private void reportPending() {
    pendingScheduled = false;
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
    return session != null
        && (session.runs().stream().anyMatch(run -> owns(connection, run.partition()))
            || session.ends().stream().anyMatch(end -> owns(connection, partitionOf(end))));
  }

  private boolean owns(EntryConnection connection, int partition) {
    return entries.owns(connection.member(), partition);
  }

  private int partitionOf(EndReport end) {
    return session.partitionOf(WorkflowCodec.decode(end.getTask()));
  }

  private void report(boolean wantsLease) {
    VmReport state = vmState();
    for (EntryConnection connection : entries.connections()) {
      report(connection, state, wantsLease);
    }
  }

  private void report(EntryConnection connection, boolean wantsLease) {
    report(connection, vmState(), wantsLease);
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
            .setOwnersDigest(entries.ownersDigest())
            .setWantsLease(wantsLease);
    if (session != null) {
      report.setWorkerClock(session.workerClockLowerBound());
      if (wantsLease) {
        report.addAllImages(ImageEvidenceCodec.encode(session.throttler().localObservations()));
      }
      for (SideRun run : session.runs()) {
        if (owns(connection, run.partition())) {
          report.addRuns(run.report());
        }
      }
      for (EndReport end : session.ends()) {
        if (owns(connection, partitionOf(end))) {
          report.addEnds(end);
        }
      }
    }
    Frame frame = Frame.newBuilder().setVmReport(report).build();
    if (wantsLease) {
      connection.link().send(frame);
    } else {
      connection.link().sendOneWay(frame);
    }
  }

  /** Returns what reports say to all entries alike, but for the worker's clock and the images. */
  private VmReport vmState() {
    VmReport.Builder state = VmReport.newBuilder().setVm(vm).setGoneWorker(goneWorker);
    if (session != null) {
      describe(state);
    }
    return state.build();
  }

  private void describe(VmReport.Builder state) {
    WorkerHeartbeat heartbeat = session.heartbeat();
    Sizes capacity = heartbeat.capacity();
    Sizes free = session.resources().free();
    state
        .setWorker(session.worker())
        .setService(heartbeat.service())
        .setZone(heartbeat.zone())
        .addAllLabels(heartbeat.labels())
        .setRack(heartbeat.rack())
        .setDraining(heartbeat.draining())
        .setUnhealthy(session.isUnhealthy())
        .setMilliProcessors((int) capacity.milliProcessors())
        .setMemoryMebibytes(WorkflowCodec.mebibytes(capacity))
        .setAccelerators((int) capacity.accelerators())
        .setFreeMilliProcessors((int) free.milliProcessors())
        .setFreeMemoryMebibytes(WorkflowCodec.mebibytes(free))
        .setFreeAccelerators((int) free.accelerators())
        .setFillMilliProcessors((int) session.resources().bestEffortMilliProcessors())
        .setSuspectMilliProcessors(
            (int) session.throttler().interferingMilliProcessors(session.runs()))
        .setOvercommitMilliProcessors((int) session.resources().overcommitMilliProcessors())
        .setFillPercent(session.throttler().interferingPercent())
        .setServing(session.serviceTaskCount());
  }

  /**
   * Takes a lease and orders, all for one life of the worker.
   *
   * <p>Guards against evidence from the future: a lease that was on its way while the worker
   * changed is by the clock of the one before. Where that clock was ahead, the lease of this one
   * would never be over, and what it ran would count as at work for good once it is silent.
   */
  private void handleOrders(EntryConnection connection, RunOrders orders) {
    connection.recordOrders(orders.getNumber());
    if (session == null) {
      // The next report names the worker that there is then; owners order anew what it lacks.
      return;
    }
    if (!orders.getWorker().equals(session.worker())) {
      LOG.info(
          LogLine.of("orders-passed-over")
              .with("member", connection.member())
              .with("worker", orders.getWorker())
              .with("current", session.worker()));
      report(connection, false);
      return;
    }
    Map<Integer, Boolean> current = recordEvidence(orders.getLease());
    if (orders.getLease().getImagesCount() > 0) {
      session
          .throttler()
          .remoteObservations(ImageEvidenceCodec.decode(orders.getLease().getImagesList()));
    }
    Map<Long, String> programs = new HashMap<>();
    for (StartRun start : orders.getStartsList()) {
      RunKey key = WorkflowCodec.decode(start.getTask());
      if (!start.getSameProgram()) {
        programs.put(key.task().workflow(), start.getProgram());
      }
      if (isFromOwner(current, key)) {
        session.start(key, start, programs.getOrDefault(key.task().workflow(), ""));
      }
    }
    for (WorkflowTaskId stop : orders.getStopsList()) {
      RunKey key = WorkflowCodec.decode(stop);
      if (isFromOwner(current, key)) {
        session.stop(key);
      }
    }
    for (WorkflowTaskId noted : orders.getNotedEndsList()) {
      RunKey key = WorkflowCodec.decode(noted);
      if (isFromOwner(current, key)) {
        session.acknowledgeEnd(key);
      }
    }
  }

  private boolean isFromOwner(Map<Integer, Boolean> current, RunKey key) {
    boolean taken = current.getOrDefault(session.partitionOf(key), false);
    if (!taken) {
      LOG.info(
          LogLine.of("order-passed-over")
              .with("run", key)
              .with("reason", "its sender does not own the partition"));
    }
    return taken;
  }

  private Map<Integer, Boolean> recordEvidence(LeaseGrant grant) {
    Map<Integer, Boolean> current = new HashMap<>();
    for (PartitionEvidence evidence : grant.getEvidenceList()) {
      long at = grant.getWorkerClock() + evidence.getAfterReportMillis();
      boolean newest = session.recordEvidence(evidence.getPartition(), evidence.getEpoch(), at);
      current.put(evidence.getPartition(), newest);
    }
    return current;
  }

  /** What entries send. */
  private final class EntryListener implements EntryConnections.Listener {
    @Override
    public void connected(EntryConnection connection) {
      report(connection, true);
    }

    @Override
    public void disconnected(EntryConnection connection) {
      pacer.remove(connection.member());
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

  /** What the worker does. */
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
    public void runChanged(int partition) {
      changedPartitions.add(partition);
      scheduleReport();
    }

    @Override
    public void sessionEnded(WorkerSession over) {
      if (session == over) {
        goneWorker = over.worker();
        session = null;
        report(true);
      }
    }
  }
}
