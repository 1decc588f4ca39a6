package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
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
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Waits for reports; where one never comes, the limit ends the test. */
@Timeout(40)
class WorkflowSideProcessTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final String WORKER = "life-1";
  private static final RunKey RUN = new RunKey(new TaskKey(7, 0, 0, 0), 1);

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final LinkLoop loop = new LinkLoop("side", MonotonicClock.system());
  private final ScriptedOwnersStore store = new ScriptedOwnersStore(2);
  private final FakeWorkerGateway worker =
      new FakeWorkerGateway(WORKER, timer, new RunHistory(), 60_000);
  private final WorkflowSideProcess side =
      new WorkflowSideProcess(loop, store, worker, "vm-0", TERMS);
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
   * A VM's worker crashed and was back at once, while leases for the life before were on their way,
   * by a clock that was ahead. The new worker's lease was never over then: once it was silent, its
   * tasks stayed at work for good, and no other owner's task could start there.
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
            .setRunOrders(RunOrders.newBuilder().setNumber(1).setWorker("life-0").setLease(ahead))
            .build());
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowCodec.encode(RUN))
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
      // The next one tells.
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
   * An entry died, and another one told a side process that it owns everything now. Then an answer
   * of the store arrived that was from before. The side process went on to report to the dead entry
   * for good, and told the living one that it had its map: the ends of its tasks were never heard.
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
    // Asked since the dead entry is not reached; the answer is on its way for long.
    var late = store.nextRequest();
    entry.send(connection, ownerMapFrame(5, after));
    while (entry.awaitReport().getOwnersDigest() != after.hashCode()) {
      // The next one tells.
    }
    late.complete(ScriptedOwnersStore.owners(before));
    while (entry.awaitReport().getOwnersDigest() == after.hashCode()) {
      // The entry hears that it has to tell its map again.
    }
    entry.send(connection, ownerMapFrame(5, after));
    int digest = entry.awaitReport().getOwnersDigest();
    while (digest != after.hashCode()) {
      digest = entry.awaitReport().getOwnersDigest();
    }
    assertEquals(after.hashCode(), digest);
    assertNotEquals(before.hashCode(), digest);
  }

  /** Guards against ends that are told to an entry that has lost the store and its partitions. */
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
      // The next one tells.
    }
    sendHeartbeat();
    awaitReportOfWorker();
    entry.send(connection, ownerMapFrame(5, before));
    // Orders for another life of the worker are answered by a report.
    RunOrders orders = RunOrders.newBuilder().setNumber(1).setWorker("life-0").build();
    entry.send(connection, Frame.newBuilder().setRunOrders(orders).build());
    VmReport report = entry.awaitReport();
    while (report.getOrdersSeen() != 1) {
      report = entry.awaitReport();
    }
    assertEquals(after.hashCode(), report.getOwnersDigest());
    former.close();
  }
}
