package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.SideEntries.EntryConnection;
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
import io.marigoldsail.workflow.LeaseTermsOfWorker;
import io.marigoldsail.workflow.RunKey;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The workflow component of a side process: executes the orders of owners on the worker of its VM and
 * reports the state of the VM and its runs to the entries.
 *
 * <p>Stores nothing durably: after a restart the worker lists its runs, and the owners send their
 * orders again. The public methods may be called from any thread; everything else runs on the loop.
 */
public final class WorkflowSide {
  private static final EventLog LOG = EventLog.of(WorkflowSide.class);

  /**
   * Interval of the periodic reports, which request a lease, to an entry that owns runs on the VM, in
   * nanoseconds.
   */
  static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String vm;
  private final int partitions;
  private final LeaseTermsOfWorker terms;
  private final SideEntries entries;
  private WorkerSession session;
  private String goneWorker = "";
  private final ReportPacer pacer = new ReportPacer();
  private final ToldStates told = new ToldStates();
  private final Set<Integer> changedPartitions = new HashSet<>();
  private final Set<EntryConnection> owed = new HashSet<>();

  /** Connections that sent start or stop orders since the last periodic report to them. */
  private final Set<EntryConnection> ordered = new HashSet<>();

  private boolean probing;
  private boolean reportScheduled;
  private boolean owedScheduled;
  private boolean standingChanged;

  /**
   * Creates an inactive instance; {@link #start} activates it.
   *
   * @param loop the event loop of the process
   * @param store queried for the owners of partitions
   * @param gateway the client of the worker
   * @param vm the name of the VM
   * @param terms the durations of leases
   */
  public WorkflowSide(
      LinkLoop loop,
      WorkflowStore store,
      WorkerGateway gateway,
      String vm,
      LeaseTermsOfWorker terms) {
    this.loop = requireNonNull(loop, "loop");
    this.gateway = requireNonNull(gateway, "gateway");
    this.vm = requireNonNull(vm, "vm");
    this.partitions = store.partitions();
    this.terms = requireNonNull(terms, "terms");
    this.entries = new SideEntries(loop, store, new FromEntries());
  }

  /** Starts connecting to the entries and sending them periodic reports. */
  public void start() {
    loop.run(entries::tick);
    loop.repeat(entries::tick, TICK_NANOS);
    loop.repeat(this::reportRegularly, REPORT_NANOS);
  }

  /**
   * Handles a heartbeat of the worker.
   *
   * @return completes on the loop with whether the heartbeat was accepted, so that its content is in
   *     effect
   */
  public CompletableFuture<Boolean> heartbeat(WorkerHeartbeat heartbeat) {
    CompletableFuture<Boolean> accepted = new CompletableFuture<>();
    loop.run(() -> take(heartbeat, accepted));
    return accepted;
  }

  private void take(WorkerHeartbeat heartbeat, CompletableFuture<Boolean> accepted) {
    if (session != null && session.worker().equals(heartbeat.worker())) {
      if (heartbeat.sequence() >= session.heartbeat().sequence()) {
        session.heartbeat(heartbeat);
      }
      accepted.complete(true);
      return;
    }
    if (heartbeat.worker().equals(goneWorker) || probing) {
      // A heartbeat may arrive long after its sender has ended; a live worker sends another one.
      accepted.complete(false);
      return;
    }
    probing = true;
    gateway
        .list(heartbeat.worker(), OptionalLong.empty(), 0, 0)
        .thenAccept(result -> loop.run(() -> probed(heartbeat, result, accepted)));
  }

  private void probed(
      WorkerHeartbeat heartbeat, ListingResult result, CompletableFuture<Boolean> accepted) {
    probing = false;
    if (!(result instanceof Listing listing)) {
      LOG.info(
          LogLine.of("heartbeat-passed-over")
              .with("worker", heartbeat.worker())
              .with("sequence", heartbeat.sequence())
              .with("reason", result));
      accepted.complete(false);
      return;
    }
    if (session != null) {
      session.gone("another incarnation of the worker replaced it");
    }
    session =
        new WorkerSession(loop, gateway, heartbeat, listing, partitions, terms, new FromWorker());
    LOG.info(
        LogLine.of("worker-found")
            .with("worker", heartbeat.worker())
            .with("service", heartbeat.service())
            .with("labels", heartbeat.labels())
            .with("running", listing.running().size())
            .with("draining", heartbeat.draining()));
    session.start();
    report(true);
    accepted.complete(true);
  }

  /** Handles the deregistration of a worker; the result completes on the loop with {@code true}. */
  public CompletableFuture<Boolean> left(String worker) {
    CompletableFuture<Boolean> handled = new CompletableFuture<>();
    loop.run(
        () -> {
          if (session != null && session.worker().equals(worker)) {
            session.gone("the worker deregistered");
          }
          handled.complete(true);
        });
    return handled;
  }

  private void reportSoon() {
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
    VmReport state = state();
    for (EntryConnection connection : entries.connections()) {
      boolean affected = isConcerned(connection);
      if (!affected && told.knows(connection.member(), state)) {
        owed.remove(connection);
      } else if (isDue(connection, affected)) {
        report(connection, state, false);
      } else {
        owed.add(connection);
      }
    }
    changedPartitions.clear();
    standingChanged = false;
    scheduleOwed();
  }

  private boolean isConcerned(EntryConnection connection) {
    return standingChanged
        || changedPartitions.stream()
            .anyMatch(partition -> entries.owns(connection.member(), partition));
  }

  private boolean isDue(EntryConnection connection, boolean affected) {
    return dueAt(connection, affected) <= loop.now();
  }

  private long dueAt(EntryConnection connection, boolean affected) {
    return pacer.dueAt(connection.member(), affected, entries.reached(), loop.now());
  }

  private void scheduleOwed() {
    if (owedScheduled || owed.isEmpty()) {
      return;
    }
    owedScheduled = true;
    long next = owed.stream().mapToLong(each -> dueAt(each, false)).min().getAsLong();
    long coalescing = ReportPacer.gatherNanos(entries.reached());
    loop.schedule(this::reportOwed, next + coalescing - loop.now());
  }

  private void reportOwed() {
    owedScheduled = false;
    VmReport state = state();
    for (EntryConnection connection : Set.copyOf(owed)) {
      if (told.knows(connection.member(), state)) {
        owed.remove(connection);
      } else if (isDue(connection, false)) {
        report(connection, state, false);
      }
    }
    scheduleOwed();
  }

  private void reportRegularly() {
    pacer.nextTurn();
    VmReport state = state();
    for (EntryConnection connection : entries.connections()) {
      boolean owns = ordered.contains(connection) || ownsAny(connection);
      if (pacer.isRegularDue(connection.member(), owns)) {
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
    return session.partitionOf(WorkflowRecords.decode(end.getTask()));
  }

  private void report(boolean wantsLease) {
    VmReport state = state();
    for (EntryConnection connection : entries.connections()) {
      report(connection, state, wantsLease);
    }
  }

  private void report(EntryConnection connection, boolean wantsLease) {
    report(connection, state(), wantsLease);
  }

  private void report(EntryConnection connection, VmReport state, boolean wantsLease) {
    if (wantsLease) {
      pacer.reportedRegularly(connection.member(), loop.now());
      ordered.remove(connection);
    } else {
      pacer.reported(connection.member(), loop.now());
    }
    told.told(connection.member(), state);
    owed.remove(connection);
    VmReport.Builder report =
        state.toBuilder()
            .setOrdersSeen(connection.ordersSeen())
            .setOwnersDigest(entries.digest())
            .setWantsLease(wantsLease);
    if (session != null) {
      report.setWorkerClock(session.workerClock());
      if (wantsLease) {
        report.addAllImages(ImageRecords.encode(session.pacing().seen()));
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
      connection.link().tell(frame);
    }
  }

  /** Returns the part of a report that is the same for all entries, without clock and images. */
  private VmReport state() {
    VmReport.Builder state = VmReport.newBuilder().setVm(vm).setGoneWorker(goneWorker);
    if (session != null) {
      describe(state);
    }
    return state.build();
  }

  private void describe(VmReport.Builder state) {
    WorkerHeartbeat heartbeat = session.heartbeat();
    Sizes capacity = heartbeat.capacity();
    Sizes free = session.room().free();
    state
        .setWorker(session.worker())
        .setService(heartbeat.service())
        .setZone(heartbeat.zone())
        .addAllLabels(heartbeat.labels())
        .setRack(heartbeat.rack())
        .setDraining(heartbeat.draining())
        .setUnhealthy(session.isUnhealthy())
        .setMilliProcessors((int) capacity.milliProcessors())
        .setMemoryMebibytes(WorkflowRecords.mebibytes(capacity))
        .setAccelerators((int) capacity.accelerators())
        .setFreeMilliProcessors((int) free.milliProcessors())
        .setFreeMemoryMebibytes(WorkflowRecords.mebibytes(free))
        .setFreeAccelerators((int) free.accelerators())
        .setFillMilliProcessors((int) session.room().fillMilliProcessors())
        .setSuspectMilliProcessors((int) session.pacing().suspectMilliProcessors(session.runs()))
        .setOvercommitMilliProcessors((int) session.room().overcommitMilliProcessors())
        .setFillPercent(session.pacing().percent())
        .setServing(session.serving());
  }

  /**
   * Handles a lease and orders, which are valid for one worker incarnation only.
   *
   * <p>A lease in transit while the worker restarts refers to the clock of the previous incarnation.
   * If that clock was ahead, the lease of the new incarnation would never expire, and its runs would
   * count as active forever once it stops responding. So frames for another incarnation are ignored.
   */
  private void obey(EntryConnection connection, RunOrders orders) {
    connection.sawOrders(orders.getNumber());
    if (session == null) {
      // The next report names the worker at that time, and owners then send missing orders again.
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
    Map<Integer, Boolean> fromOwner = observe(orders.getLease());
    if (orders.getLease().getImagesCount() > 0) {
      session.pacing().seenElsewhere(ImageRecords.decode(orders.getLease().getImagesList()));
    }
    Map<Long, String> programs = new HashMap<>();
    for (StartRun start : orders.getStartsList()) {
      RunKey key = WorkflowRecords.decode(start.getTask());
      if (!start.getSameProgram()) {
        programs.put(key.task().workflow(), start.getProgram());
      }
      if (isCurrent(fromOwner, key)) {
        session.start(key, start, programs.getOrDefault(key.task().workflow(), ""));
      }
    }
    for (WorkflowTaskId stop : orders.getStopsList()) {
      RunKey key = WorkflowRecords.decode(stop);
      if (isCurrent(fromOwner, key)) {
        session.stop(key);
      }
    }
    for (WorkflowTaskId acknowledged : orders.getNotedEndsList()) {
      RunKey key = WorkflowRecords.decode(acknowledged);
      if (isCurrent(fromOwner, key)) {
        session.noted(key);
      }
    }
  }

  private boolean isCurrent(Map<Integer, Boolean> fromOwner, RunKey key) {
    boolean valid = fromOwner.getOrDefault(session.partitionOf(key), false);
    if (!valid) {
      LOG.info(
          LogLine.of("order-passed-over")
              .with("run", key)
              .with("reason", "its sender does not own the partition"));
    }
    return valid;
  }

  /** Records the evidence; returns for each partition whether it has the highest epoch so far. */
  private Map<Integer, Boolean> observe(LeaseGrant grant) {
    Map<Integer, Boolean> fromOwner = new HashMap<>();
    for (PartitionEvidence evidence : grant.getEvidenceList()) {
      long at = grant.getWorkerClock() + evidence.getAfterReportMillis();
      boolean newest = session.evidence(evidence.getPartition(), evidence.getEpoch(), at);
      fromOwner.put(evidence.getPartition(), newest);
    }
    return fromOwner;
  }

  /** Handles connections and orders of entries. */
  private final class FromEntries implements SideEntries.Listener {
    @Override
    public void connected(EntryConnection connection) {
      report(connection, true);
    }

    @Override
    public void disconnected(EntryConnection connection) {
      pacer.forget(connection.member());
      told.forget(connection.member());
      owed.remove(connection);
      ordered.remove(connection);
    }

    @Override
    public void received(EntryConnection connection, Frame frame) {
      if (frame.hasRunOrders()) {
        RunOrders orders = frame.getRunOrders();
        if (orders.getStartsCount() + orders.getStopsCount() > 0) {
          ordered.add(connection);
        }
        obey(connection, orders);
      }
    }

    @Override
    public void ownersChanged() {
      report(true);
    }
  }

  /** Reports changes of the current worker session. */
  private final class FromWorker implements WorkerListener {
    @Override
    public void standingChanged() {
      standingChanged = true;
      reportSoon();
    }

    @Override
    public void roomChanged() {
      reportSoon();
    }

    @Override
    public void runChanged(int partition) {
      changedPartitions.add(partition);
      reportSoon();
    }

    @Override
    public void gone(WorkerSession ended) {
      if (session == ended) {
        goneWorker = ended.worker();
        session = null;
        report(true);
      }
    }
  }
}
