package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.PartitionOwner;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowTaskId;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Waits for reports without a limit of its own; the timeout ends the test if one never arrives. */
@Timeout(40)
class WorkflowSideProcessTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final String WORKER = "worker-1";
  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final LinkLoop loop = new LinkLoop("side", MonotonicClock.system());
  private final ScriptedOwnersStore store = new ScriptedOwnersStore(2);
  private final FakeWorkerGateway worker =
      new FakeWorkerGateway(WORKER, timer, new RunHistory(), 60_000);
  private final WorkflowSideProcess side =
      new WorkflowSideProcess(loop, store, worker, "vm-0", TERMS, InterferenceScope.PER_IMAGE);
  private final ScriptedEntry entry;

  WorkflowSideProcessTest() throws IOException {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() {
    loop.close();
    entry.close();
    timer.shutdownNow();
  }

  private VmReport awaitReportOfWorker() throws InterruptedException {
    VmReport report = entry.awaitReport();
    while (!report.getWorker().equals(WORKER)) {
      report = entry.awaitReport();
    }
    return report;
  }

  private static LeaseGrant evidence(long workerClock) {
    LeaseGrant.Builder lease = LeaseGrant.newBuilder().setWorkerClock(workerClock);
    for (int partition = 0; partition < 2; partition++) {
      lease.addEvidence(PartitionEvidence.newBuilder().setPartition(partition).setEpoch(1));
    }
    return lease.build();
  }

  private void sendHeartbeat() {
    side.heartbeat(
        new WorkerHeartbeat(
            WORKER,
            "service",
            "zone",
            ImmutableList.of(),
            "",
            new Sizes(4_000, 1L << 33, 0),
            false,
            1));
  }

  /**
   * A worker restarts while leases for the previous incarnation, whose clock was ahead, are in
   * transit. Applied to the new incarnation they would keep its lease from ever expiring: once it
   * stops responding, its runs would count as active forever and block the VM for other owners.
   */
  @Test
  void leaseForAnotherIncarnationIsIgnored() throws Exception {
    side.start();
    store
        .nextRequest()
        .complete(ScriptedOwnersStore.owners(Map.of(0, entry.member(), 1, entry.member())));
    LinkConnection connection = entry.awaitConnection();
    sendHeartbeat();
    VmReport report = awaitReportOfWorker();
    LeaseGrant ahead = evidence(report.getWorkerClock() + 1_000_000_000L);
    entry.send(connection, Frame.newBuilder().setLeaseGrant(ahead).build());
    entry.send(
        connection,
        Frame.newBuilder()
            .setRunOrders(RunOrders.newBuilder().setNumber(1).setWorker("worker-0").setLease(ahead))
            .build());
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(RUN))
            .setProgram("program")
            .setMilliProcessors(500)
            .build();
    entry.send(
        connection,
        Frame.newBuilder()
            .setRunOrders(
                RunOrders.newBuilder()
                    .setNumber(2)
                    .setWorker(WORKER)
                    .setLease(evidence(report.getWorkerClock()))
                    .addStarts(start))
            .build());
    while (awaitReportOfWorker().getRunsList().stream().noneMatch(run -> run.getStarted())) {
      // Keeps waiting.
    }
    assertTrue(
        worker.remainingLeaseMillis() <= TERMS.boundMillis(), "" + worker.remainingLeaseMillis());
  }

  private Frame ownerMapFrame(long generation, Map<Integer, String> owners) {
    OwnerMap.Builder map =
        OwnerMap.newBuilder().setGeneration(generation).setDigest(owners.hashCode());
    owners.forEach(
        (partition, member) ->
            map.addOwners(PartitionOwner.newBuilder().setPartition(partition).setMember(member)));
    return Frame.newBuilder().setOwnerMap(map).build();
  }

  /**
   * An entry dies, and another one sends its owner map, in which it owns all partitions. Then a
   * response of the store with the old owners arrives and replaces that map. The side process must
   * report the digest of the old map, so that the live entry sends its map again. Otherwise it
   * reports to the dead entry forever, and the ends of runs never reach their owner.
   */
  @Test
  void staleOwnersFromTheStoreAreCorrectedByEntries() throws Exception {
    ScriptedEntry died = new ScriptedEntry();
    final Map<Integer, String> before = Map.of(0, entry.member(), 1, died.member());
    final Map<Integer, String> after = Map.of(0, entry.member(), 1, entry.member());
    side.start();
    store.nextRequest().complete(ScriptedOwnersStore.owners(before));
    LinkConnection connection = entry.awaitConnection();
    died.awaitConnection();
    died.close();
    // The store is queried because the dead entry is not connected; the response arrives late.
    var late = store.nextRequest();
    entry.send(connection, ownerMapFrame(5, after));
    while (entry.awaitReport().getOwnersDigest() != after.hashCode()) {
      // Keeps waiting.
    }
    late.complete(ScriptedOwnersStore.owners(before));
    while (entry.awaitReport().getOwnersDigest() == after.hashCode()) {
      // Waits for the report with the old digest, which makes the entry send its map again.
    }
    entry.send(connection, ownerMapFrame(5, after));
    int digest = entry.awaitReport().getOwnersDigest();
    while (digest != after.hashCode()) {
      digest = entry.awaitReport().getOwnersDigest();
    }
    assertEquals(after.hashCode(), digest);
    assertNotEquals(before.hashCode(), digest);
  }

  /**
   * Guards against reports to former owners: an entry, also one of an older version, sends a map
   * whose digest is that of the map in use, though the owners differ.
   */
  @Test
  void ownerMapWithTheDigestOfTheMapInUseIsApplied() throws Exception {
    ScriptedEntry other = new ScriptedEntry();
    final Map<Integer, String> before =
        Map.of(0, entry.member(), 1, other.member(), 2, other.member(), 3, entry.member());
    final Map<Integer, String> after =
        Map.of(0, other.member(), 1, entry.member(), 2, entry.member(), 3, other.member());
    assertEquals(before.hashCode(), after.hashCode());
    side.start();
    store.nextRequest().complete(ScriptedOwnersStore.owners(before));
    LinkConnection connection = entry.awaitConnection();
    entry.send(connection, ownerMapFrame(5, after));
    while (entry.awaitReport().getOwnersFingerprint() != OwnerMapCodec.fingerprint(after)) {
      // Keeps waiting.
    }
    other.close();
  }

  /**
   * Guards against reports to an entry that has lost its partitions, and that sends an outdated map
   * because it is disconnected from the store.
   */
  @Test
  void ownerMapOfALowerGenerationIsIgnored() throws Exception {
    ScriptedEntry former = new ScriptedEntry();
    final Map<Integer, String> before = Map.of(0, entry.member(), 1, former.member());
    final Map<Integer, String> after = Map.of(0, entry.member(), 1, entry.member());
    side.start();
    store.nextRequest().complete(ScriptedOwnersStore.owners(before));
    LinkConnection connection = entry.awaitConnection();
    former.awaitConnection();
    entry.send(connection, ownerMapFrame(6, after));
    while (entry.awaitReport().getOwnersDigest() != after.hashCode()) {
      // Keeps waiting.
    }
    sendHeartbeat();
    awaitReportOfWorker();
    entry.send(connection, ownerMapFrame(5, before));
    // Orders for another incarnation of the worker are answered by a report.
    RunOrders orders = RunOrders.newBuilder().setNumber(1).setWorker("worker-0").build();
    entry.send(connection, Frame.newBuilder().setRunOrders(orders).build());
    VmReport report = entry.awaitReport();
    while (report.getOrdersSeen() != 1) {
      report = entry.awaitReport();
    }
    assertEquals(after.hashCode(), report.getOwnersDigest());
    former.close();
  }

  private void sendOrders(LinkConnection connection, VmReport report, RunOrders.Builder orders) {
    orders.setWorker(WORKER).setLease(evidence(report.getWorkerClock()));
    entry.send(connection, Frame.newBuilder().setRunOrders(orders).build());
  }

  private void startRun(LinkConnection connection) throws Exception {
    sendHeartbeat();
    StartRun start =
        StartRun.newBuilder().setTask(WorkflowIdCodec.encode(RUN)).setMilliProcessors(500).build();
    sendOrders(connection, awaitReportOfWorker(), RunOrders.newBuilder().addStarts(start));
    while (awaitReportOfWorker().getRunsList().stream().noneMatch(run -> run.getStarted())) {
      // Keeps waiting.
    }
  }

  /** Starts the run and ends it as done; returns the first report of its end. */
  private VmReport awaitEnd(LinkConnection connection) throws Exception {
    startRun(connection);
    worker.end(RUN, RunOutcome.DONE);
    VmReport report = awaitReportOfWorker();
    while (report.getEndsCount() == 0) {
      report = awaitReportOfWorker();
    }
    return report;
  }

  private LinkConnection connectAsOwner() throws Exception {
    side.start();
    store
        .nextRequest()
        .complete(ScriptedOwnersStore.owners(Map.of(0, entry.member(), 1, entry.member())));
    return entry.awaitConnection();
  }

  private void awaitTwoListings(LinkConnection connection) throws Exception {
    int before = worker.listings();
    while (worker.listings() < before + 2) {
      sendOrders(connection, awaitReportOfWorker(), RunOrders.newBuilder());
    }
  }

  /** An acknowledgement instead would let the worker discard the end, and the task runs again. */
  @Test
  void workerKeepsAnEndThatItsOwnerCallsSuperseded() throws Exception {
    LinkConnection connection = connectAsOwner();
    VmReport report = awaitEnd(connection);
    sendOrders(
        connection, report, RunOrders.newBuilder().addSupersededEnds(report.getEnds(0).getTask()));
    while (awaitReportOfWorker().getEndsCount() > 0) {
      // Waits until the end is no longer reported.
    }
    awaitTwoListings(connection);
    assertEquals(1, worker.unacknowledgedEnds());
  }

  /**
   * A run counted as forgotten, and then the worker lists its end. The response to the first end
   * must not be taken for one to the second, which the owner has not heard of.
   */
  @Test
  void responseToAnotherEndOfTheRunIsIgnored() throws Exception {
    LinkConnection connection = connectAsOwner();
    VmReport report = awaitEnd(connection);
    WorkflowTaskId notListed = WorkflowIdCodec.encode(RUN);
    sendOrders(
        connection,
        report,
        RunOrders.newBuilder().setNumber(9).addNotedEnds(notListed).addSupersededEnds(notListed));
    VmReport next = awaitReportOfWorker();
    while (next.getOrdersSeen() < 9) {
      next = awaitReportOfWorker();
    }
    assertEquals(1, next.getEndsCount());
    awaitTwoListings(connection);
    assertEquals(1, worker.unacknowledgedEnds());
    sendOrders(connection, next, RunOrders.newBuilder().addNotedEnds(next.getEnds(0).getTask()));
    while (worker.unacknowledgedEnds() > 0) {
      awaitReportOfWorker();
    }
  }

  /**
   * Guards against two runs of a task: the worker still runs it when it deregisters, and an owner
   * that is told that the worker is gone orders it elsewhere.
   */
  @Test
  void deregisteredWorkerIsReportedAsGoneOnlyAfterTheEndsOfItsRuns() throws Exception {
    LinkConnection connection = connectAsOwner();
    startRun(connection);
    CompletableFuture<Boolean> response = side.workerDeregistered(WORKER);
    VmReport report = entry.awaitReport();
    while (report.getEndsCount() == 0 && report.getGoneWorker().isEmpty()) {
      report = entry.awaitReport();
    }
    assertEquals("", report.getGoneWorker());
    assertTrue(report.getDraining());
    assertEquals(RunOutcome.STOPPED.number(), report.getEnds(0).getOutcome());
    sendOrders(
        connection, report, RunOrders.newBuilder().addNotedEnds(report.getEnds(0).getTask()));
    assertTrue(response.get());
    assertEquals(0, worker.unacknowledgedEnds());
  }

  /**
   * Guards against a run that starts with an empty program: the frame says that an earlier start of
   * it names the program, and none does.
   */
  @Test
  void startWithoutItsProgramIsNotSentToTheWorker() throws Exception {
    side.start();
    store
        .nextRequest()
        .complete(ScriptedOwnersStore.owners(Map.of(0, entry.member(), 1, entry.member())));
    LinkConnection connection = entry.awaitConnection();
    sendHeartbeat();
    VmReport report = awaitReportOfWorker();
    RunKey complete = new RunKey(TestIds.task(8, 0, 0, 0), 1);
    entry.send(
        connection,
        Frame.newBuilder()
            .setRunOrders(
                RunOrders.newBuilder()
                    .setNumber(1)
                    .setWorker(WORKER)
                    .setLease(evidence(report.getWorkerClock()))
                    .addStarts(startOf(RUN).setSameProgram(true))
                    .addStarts(startOf(complete).setProgram("program")))
            .build());
    while (awaitReportOfWorker().getRunsList().stream().noneMatch(run -> run.getStarted())) {
      // Keeps waiting.
    }
    assertEquals(List.of(complete), worker.startRequests());
  }

  private static StartRun.Builder startOf(RunKey run) {
    return StartRun.newBuilder().setTask(WorkflowIdCodec.encode(run)).setMilliProcessors(500);
  }
}
