package io.marigoldsail.daemon.workflow;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * One incarnation of the side process of a VM: a real {@link WorkerSession} on a loop of its own,
 * between simulated connections and a simulated worker. Applies frames and heartbeats, and reports,
 * as {@link WorkflowSideProcess} does, whose connections need sockets. One thread.
 */
final class SimulatedSideProcess {
  private static final long REPORT_INTERVAL_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(WorkflowSideProcess.REPORT_INTERVAL_NANOS);

  private final String vm;
  private final SimulatedTime time;
  private final RunOracle oracle;
  private final int partitions;
  private final WorkerLeaseTerms terms;
  private final BooleanSupplier diesNow;
  private final VirtualLoop loop = new VirtualLoop();
  private final WorkerRegistration registration;
  private final Map<String, SimulatedLink> links = new LinkedHashMap<>();
  private final Deque<Runnable> inbox = new ArrayDeque<>();
  private Map<Integer, String> owners;
  private boolean reportScheduled;
  private boolean dead;
  private long stoppedSince;
  private long stoppedUntil;
  private boolean clockStops;

  /** Creates the calls to the worker, whose responses the argument handles. */
  interface Calls {
    WorkerGateway of(SimulatedSideProcess caller);
  }

  /**
   * Starts the process.
   *
   * @param diesNow drawn before and after each message that it handles
   */
  SimulatedSideProcess(
      String vm,
      SimulatedTime time,
      RunOracle oracle,
      int partitions,
      WorkerLeaseTerms terms,
      Map<Integer, String> owners,
      BooleanSupplier diesNow,
      Calls calls) {
    this.vm = vm;
    this.time = time;
    this.oracle = oracle;
    this.partitions = partitions;
    this.terms = terms;
    this.owners = owners;
    this.diesNow = diesNow;
    this.registration =
        new WorkerRegistration(
            loop.loop(),
            calls.of(this),
            partitions,
            terms,
            InterferenceScope.PER_IMAGE,
            new SessionListener(),
            this::sessionFound);
    loop.loop().repeat(() -> report(true), TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MILLIS));
  }

  String vm() {
    return vm;
  }

  boolean isAlive() {
    return !dead;
  }

  void kill() {
    oracle.note(() -> "SIDE " + vm + " dies");
    dead = true;
    List.copyOf(links.values()).forEach(SimulatedLink::close);
  }

  /** Lets the process stand still; its clock either goes on or stops as well. */
  void standStill(long millis, boolean withClock) {
    oracle.note(() -> "SIDE " + vm + " stands still for " + millis + " clock stops " + withClock);
    if (!isStopped()) {
      stoppedSince = time.now();
    }
    stoppedUntil = Math.max(stoppedUntil, time.now() + millis);
    clockStops = withClock;
  }

  private boolean isStopped() {
    return time.now() < stoppedUntil;
  }

  /** Runs the action in the process: once it goes on if it stands still, never if it is dead. */
  void deliver(Runnable action) {
    if (dead) {
      return;
    }
    if (isStopped() || !inbox.isEmpty()) {
      inbox.add(action);
    } else {
      handle(action);
    }
  }

  /** Dies before or after some messages. */
  private void handle(Runnable action) {
    if (!dead && diesNow.getAsBoolean()) {
      kill();
    }
    if (!dead) {
      action.run();
    }
    if (!dead && diesNow.getAsBoolean()) {
      kill();
    }
  }

  /** Applies the passing of time; call this in each step. */
  void step() {
    if (dead || isStopped()) {
      return;
    }
    if (stoppedSince > 0) {
      oracle.note(() -> "SIDE " + vm + " goes on");
      long missed = clockStops ? 1 : time.now() - stoppedSince;
      stoppedSince = 0;
      loop.skip(missed);
    } else {
      loop.advance(1);
    }
    while (!inbox.isEmpty() && !dead) {
      handle(inbox.poll());
    }
    loop.runPending();
  }

  void connected(SimulatedLink link) {
    links.put(link.owner().name(), link);
    report(link, true);
  }

  void disconnected(SimulatedLink link) {
    links.remove(link.owner().name(), link);
  }

  void ownersChanged(Map<Integer, String> newOwners) {
    owners = newOwners;
    report(true);
  }

  void heartbeat(WorkerHeartbeat heartbeat) {
    registration.heartbeat(heartbeat, new CompletableFuture<>());
  }

  private WorkerSession session() {
    return registration.session();
  }

  private void sessionFound() {
    oracle.note(() -> "SIDE " + vm + " finds " + session().worker());
    report(true);
  }

  private void scheduleReport() {
    if (!reportScheduled) {
      reportScheduled = true;
      loop.loop()
          .runLater(
              () -> {
                reportScheduled = false;
                report(false);
              });
    }
  }

  private void report(boolean wantsLease) {
    List.copyOf(links.values()).forEach(link -> report(link, wantsLease));
  }

  private void report(SimulatedLink link, boolean wantsLease) {
    VmReport.Builder report =
        VmReport.newBuilder()
            .setVm(vm)
            .setGoneWorker(registration.goneWorker())
            .setOrdersSeen(link.ordersSeen())
            .setWantsLease(wantsLease);
    if (session() != null) {
      VmStateEncoder.encode(session(), report);
      report.setWorkerClock(session().workerClockLowerBound());
      for (SideRun run : session().runs()) {
        if (owns(link, run.key())) {
          report.addRuns(run.report());
        }
      }
      for (EndReport end : session().ends()) {
        if (owns(link, WorkflowIdCodec.decode(end.getTask()))) {
          report.addEnds(end);
        }
      }
    }
    link.sendReport(report.build());
  }

  private boolean owns(SimulatedLink link, RunKey run) {
    return link.owner().name().equals(owners.get(session().partitionOf(run)));
  }

  void receive(SimulatedLink link, RunOrders orders) {
    if (!link.isOpen()) {
      return;
    }
    link.recordOrders(orders.getNumber());
    if (session() == null) {
      return;
    }
    if (!orders.getWorker().equals(session().worker())) {
      report(link, false);
      return;
    }
    Map<Integer, Boolean> fromOwner = recordEvidence(orders.getLease());
    for (StartRun start : orders.getStartsList()) {
      RunKey key = WorkflowIdCodec.decode(start.getTask());
      if (isFromOwner(fromOwner, key)) {
        session().start(key, start, start.getProgram());
      }
    }
    for (WorkflowTaskId stop : orders.getStopsList()) {
      RunKey key = WorkflowIdCodec.decode(stop);
      if (isFromOwner(fromOwner, key)) {
        session().stop(key);
      }
    }
    respondToEnds(fromOwner, orders.getSupersededEndsList(), EndResponse.SUPERSEDED);
    respondToEnds(fromOwner, orders.getNotedEndsList(), EndResponse.SETTLED);
  }

  private void respondToEnds(
      Map<Integer, Boolean> fromOwner, List<WorkflowTaskId> ends, EndResponse response) {
    for (WorkflowTaskId end : ends) {
      RunKey key = WorkflowIdCodec.decode(end);
      if (isFromOwner(fromOwner, key)
          && session().retention().isCurrent(key, end.getEndSequence())) {
        session().respondToEnd(key, response);
      }
    }
  }

  private boolean isFromOwner(Map<Integer, Boolean> fromOwner, RunKey key) {
    return fromOwner.getOrDefault(session().partitionOf(key), false);
  }

  private Map<Integer, Boolean> recordEvidence(LeaseGrant grant) {
    Map<Integer, Boolean> fromOwner = new HashMap<>();
    for (PartitionEvidence evidence : grant.getEvidenceList()) {
      long at = grant.getWorkerClock() + evidence.getAfterReportMillis();
      fromOwner.put(
          evidence.getPartition(),
          session().recordEvidence(evidence.getPartition(), evidence.getEpoch(), at));
    }
    return fromOwner;
  }

  /** Reports changes of the current session(). */
  private final class SessionListener implements WorkerSessionListener {
    @Override
    public void availabilityChanged() {
      scheduleReport();
    }

    @Override
    public void capacityChanged() {
      scheduleReport();
    }

    @Override
    public boolean isEvacuated(String zone) {
      return false;
    }

    @Override
    public void runChanged(int partition) {
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
