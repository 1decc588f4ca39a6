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
public final class WorkflowSide {
  private static final EventLog LOG = EventLog.of(WorkflowSide.class);

  /** Between two reports that ask for a lease, to an entry that owns runs here, in nanoseconds. */
  static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final LinkLoop loop;
  private final WorkerGateway gateway;
  private final String vm;
  private final int partitions;
  private final WorkerLeaseTerms terms;
  private final SideEntries entries;
  private WorkerSession session;
  private String goneWorker = "";
  private final ReportPacer pacer = new ReportPacer();
  private final ToldStates told = new ToldStates();
  private final Set<Integer> changedPartitions = new HashSet<>();
  private final Set<EntryConnection> owed = new HashSet<>();

  /** Those that ordered something since their last regular report. */
  private final Set<EntryConnection> ordered = new HashSet<>();

  private boolean probing;
  private boolean reportScheduled;
  private boolean owedScheduled;
  private boolean standingChanged;

  /**
   * Creates a side process that does nothing yet.
   *
   * @param loop the process's loop
   * @param store asked for the owners
   * @param gateway the worker
   * @param vm the VM's name
   * @param terms the lengths of leases
   */
  public WorkflowSide(
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
    this.entries = new SideEntries(loop, store, new FromEntries());
  }

  /** Begins to look for entries. */
  public void start() {
    loop.run(entries::tick);
    loop.repeat(entries::tick, TICK_NANOS);
    loop.repeat(this::reportRegularly, REPORT_NANOS);
  }

  /**
   * Takes a heartbeat of the worker.
   *
   * @return completes on the loop with whether it was taken, and what it says is in force
   */
  public CompletableFuture<Boolean> heartbeat(WorkerHeartbeat heartbeat) {
    CompletableFuture<Boolean> taken = new CompletableFuture<>();
    loop.run(() -> take(heartbeat, taken));
    return taken;
  }

  private void take(WorkerHeartbeat heartbeat, CompletableFuture<Boolean> taken) {
    if (session != null && session.worker().equals(heartbeat.worker())) {
      if (heartbeat.sequence() >= session.heartbeat().sequence()) {
        session.heartbeat(heartbeat);
      }
      taken.complete(true);
      return;
    }
    if (heartbeat.worker().equals(goneWorker) || probing) {
      // A heartbeat may arrive long after its sender ended; one of a living worker is repeated.
      taken.complete(false);
      return;
    }
    probing = true;
    gateway
        .list(heartbeat.worker(), OptionalLong.empty(), 0, 0)
        .thenAccept(result -> loop.run(() -> probed(heartbeat, result, taken)));
  }

  private void probed(
      WorkerHeartbeat heartbeat, ListingResult result, CompletableFuture<Boolean> taken) {
    probing = false;
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
      session.gone("another one took its place");
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
    taken.complete(true);
  }

  /** Takes the leave of a worker; completes on the loop. */
  public CompletableFuture<Boolean> left(String worker) {
    CompletableFuture<Boolean> taken = new CompletableFuture<>();
    loop.run(
        () -> {
          if (session != null && session.worker().equals(worker)) {
            session.gone("it left");
          }
          taken.complete(true);
        });
    return taken;
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
      boolean concerned = isConcerned(connection);
      if (!concerned && told.knows(connection.member(), state)) {
        owed.remove(connection);
      } else if (isDue(connection, concerned)) {
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

  private boolean isDue(EntryConnection connection, boolean concerned) {
    return dueAt(connection, concerned) <= loop.now();
  }

  private long dueAt(EntryConnection connection, boolean concerned) {
    return pacer.dueAt(connection.member(), concerned, entries.reached(), loop.now());
  }

  private void scheduleOwed() {
    if (owedScheduled || owed.isEmpty()) {
      return;
    }
    owedScheduled = true;
    long next = owed.stream().mapToLong(each -> dueAt(each, false)).min().getAsLong();
    long gathered = ReportPacer.gatherNanos(entries.reached());
    loop.schedule(this::reportOwed, next + gathered - loop.now());
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
    return session.partitionOf(WorkflowCodec.decode(end.getTask()));
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
        report.addAllImages(ImageObservationCodec.encode(session.pacing().seen()));
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

  /** Returns what reports say to all entries alike, but for the worker's clock and the images. */
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
        .setMemoryMebibytes(WorkflowCodec.mebibytes(capacity))
        .setAccelerators((int) capacity.accelerators())
        .setFreeMilliProcessors((int) free.milliProcessors())
        .setFreeMemoryMebibytes(WorkflowCodec.mebibytes(free))
        .setFreeAccelerators((int) free.accelerators())
        .setFillMilliProcessors((int) session.room().bestEffortMilliProcessors())
        .setSuspectMilliProcessors((int) session.pacing().suspectMilliProcessors(session.runs()))
        .setOvercommitMilliProcessors((int) session.room().overcommitMilliProcessors())
        .setFillPercent(session.pacing().percent())
        .setServing(session.serving());
  }

  /**
   * Takes a lease and orders, all for one life of the worker.
   *
   * <p>Guards against evidence from the future: a lease that was on its way while the worker
   * changed is by the clock of the one before. Where that clock was ahead, the lease of this one
   * would never be over, and what it ran would count as at work for good once it is silent.
   */
  private void obey(EntryConnection connection, RunOrders orders) {
    connection.sawOrders(orders.getNumber());
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
    Map<Integer, Boolean> current = observe(orders.getLease());
    if (orders.getLease().getImagesCount() > 0) {
      session
          .pacing()
          .seenElsewhere(ImageObservationCodec.decode(orders.getLease().getImagesList()));
    }
    Map<Long, String> programs = new HashMap<>();
    for (StartRun start : orders.getStartsList()) {
      RunKey key = WorkflowCodec.decode(start.getTask());
      if (!start.getSameProgram()) {
        programs.put(key.task().workflow(), start.getProgram());
      }
      if (isCurrent(current, key)) {
        session.start(key, start, programs.getOrDefault(key.task().workflow(), ""));
      }
    }
    for (WorkflowTaskId stop : orders.getStopsList()) {
      RunKey key = WorkflowCodec.decode(stop);
      if (isCurrent(current, key)) {
        session.stop(key);
      }
    }
    for (WorkflowTaskId noted : orders.getNotedEndsList()) {
      RunKey key = WorkflowCodec.decode(noted);
      if (isCurrent(current, key)) {
        session.noted(key);
      }
    }
  }

  private boolean isCurrent(Map<Integer, Boolean> current, RunKey key) {
    boolean taken = current.getOrDefault(session.partitionOf(key), false);
    if (!taken) {
      LOG.info(
          LogLine.of("order-passed-over")
              .with("run", key)
              .with("reason", "its sender does not own the partition"));
    }
    return taken;
  }

  private Map<Integer, Boolean> observe(LeaseGrant grant) {
    Map<Integer, Boolean> current = new HashMap<>();
    for (PartitionEvidence evidence : grant.getEvidenceList()) {
      long at = grant.getWorkerClock() + evidence.getAfterReportMillis();
      boolean newest = session.evidence(evidence.getPartition(), evidence.getEpoch(), at);
      current.put(evidence.getPartition(), newest);
    }
    return current;
  }

  /** What entries send. */
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

  /** What the worker does. */
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
    public void gone(WorkerSession over) {
      if (session == over) {
        goneWorker = over.worker();
        session = null;
        report(true);
      }
    }
  }
}
