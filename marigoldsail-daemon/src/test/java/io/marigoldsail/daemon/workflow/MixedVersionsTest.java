package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Joined;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.LeaseGrant;
import io.marigoldsail.protocol.OwnerMap;
import io.marigoldsail.protocol.PartitionEvidence;
import io.marigoldsail.protocol.Pong;
import io.marigoldsail.protocol.RunOrders;
import io.marigoldsail.protocol.RunReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.protocol.WorkflowQuery;
import io.marigoldsail.protocol.WorkflowQueryAnswer;
import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowId;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Processes beside others of a version that identifies a workflow by the number that its digits
 * form: such a process is never given work whose id it would change.
 */
@Timeout(60)
class MixedVersionsTest {
  private static final WorkflowId LOWER = WorkflowId.of("5c0e7a21d94b36f8");
  private static final WorkflowId UPPER = WorkflowId.of("5C0E7A21D94B36F8");
  private static final long NUMBER = 0x5c0e7a21d94b36f8L;
  private static final RunKey LOWER_RUN = new RunKey(new TaskKey(LOWER, 0, 0, 0), 1);
  private static final RunKey UPPER_RUN = new RunKey(new TaskKey(UPPER, 0, 0, 0), 1);
  private static final String WORKER = "worker-1";

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final LinkLoop loop = new LinkLoop("test", MonotonicClock.system());

  @AfterEach
  void stop() {
    loop.close();
    timer.shutdownNow();
    cluster.close();
  }

  private void submit(WorkflowId id) {
    assertInstanceOf(
        Appended.class,
        cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, 1)).join());
  }

  private static List<RunKey> runs(ScriptedVm vm) {
    return vm.starts().stream().map(start -> WorkflowIdCodec.decode(start.getTask())).toList();
  }

  /** Guards against an older side process that starts the tasks of another workflow. */
  @Test
  void olderSideProcessIsOrderedWhatItCanRepresent() throws IOException {
    cluster.addEntry();
    cluster.awaitReady();
    ScriptedVm older = new ScriptedVm(loop, cluster.entry(0).memberPrefix(), "vm-0");
    older.report();
    submit(UPPER);
    submit(LOWER);
    cluster.await("the older one is ordered a start", () -> !older.starts().isEmpty());
    StartRun start = older.starts().get(0);
    assertEquals(NUMBER, start.getTask().getWorkflow());
    assertEquals("", start.getTask().getWorkflowId());
    older.report();
    cluster.await("it has a lease", () -> older.leases() > 1);
    assertEquals(List.of(LOWER_RUN), runs(older).stream().distinct().toList());
    assertEquals(QueryResult.QUEUED, cluster.status(0, UPPER));

    ScriptedVm newer = new ScriptedVm(loop, cluster.entry(0).memberPrefix(), "vm-1");
    newer.readTextIds();
    newer.report();
    cluster.await("the newer one is ordered the other start", () -> !newer.starts().isEmpty());
    assertEquals(UPPER.toString(), newer.starts().get(0).getTask().getWorkflowId());
    assertEquals(0, newer.starts().get(0).getTask().getWorkflow());
    assertEquals(List.of(LOWER_RUN), runs(older).stream().distinct().toList());
  }

  private static WorkerHeartbeat heartbeat() {
    Sizes capacity = new Sizes(4_000, 1L << 33, 0);
    return new WorkerHeartbeat(
        WORKER, "service", "zone", ImmutableList.of(), "", capacity, false, 1);
  }

  private static StartRun start(RunKey run) {
    return StartRun.newBuilder()
        .setTask(WorkflowIdCodec.encode(run))
        .setProgram("program")
        .setMilliProcessors(500)
        .build();
  }

  private static ImmutableSet<RunKey> decode(List<RunReport> runs) {
    return runs.stream()
        .map(run -> WorkflowIdCodec.decode(run.getTask()))
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Guards against an older owner that stops, or records the end of, another workflow's run. */
  @Test
  void olderEntryIsReportedWhatItCanRepresent() throws Exception {
    int partition = LOWER.partition(1);
    ScriptedOwnersStore store = new ScriptedOwnersStore(1);
    FakeWorkerGateway worker = new FakeWorkerGateway(WORKER, timer, new RunHistory(), 60_000);
    WorkflowSideProcess side =
        new WorkflowSideProcess(
            loop,
            store,
            worker,
            "vm-0",
            WorkerLeaseTerms.forMaxLease(10_000),
            InterferenceScope.PER_IMAGE);
    try (ScriptedEntry entry = new ScriptedEntry()) {
      side.start();
      store.nextRequest().complete(ScriptedOwnersStore.owners(Map.of(partition, entry.member())));
      LinkConnection link = entry.awaitConnection();
      assertTrue(side.heartbeat(heartbeat()).join());
      VmReport report = entry.awaitReport();
      while (!report.getWorker().equals(WORKER)) {
        report = entry.awaitReport();
      }
      assertTrue(report.getReadsTextIds());
      LeaseGrant lease =
          LeaseGrant.newBuilder()
              .setWorkerClock(report.getWorkerClock())
              .addEvidence(PartitionEvidence.newBuilder().setPartition(partition).setEpoch(1))
              .build();
      RunOrders orders =
          RunOrders.newBuilder()
              .setNumber(1)
              .setWorker(WORKER)
              .setLease(lease)
              .addStarts(start(LOWER_RUN))
              .addStarts(start(UPPER_RUN))
              .build();
      entry.send(link, Frame.newBuilder().setRunOrders(orders).build());
      while (report.getRunsCount() == 0) {
        report = entry.awaitReport();
      }
      assertEquals(NUMBER, report.getRuns(0).getTask().getWorkflow());
      assertEquals("", report.getRuns(0).getTask().getWorkflowId());
      assertEquals(ImmutableSet.of(LOWER_RUN), decode(report.getRunsList()));
      assertEquals(ImmutableSet.of(UPPER_RUN), decode(report.getTextIdRunsList()));

      entry.send(
          link,
          Frame.newBuilder().setOwnerMap(OwnerMap.newBuilder().setReadsTextIds(true)).build());
      while (report.getRunsCount() != 2) {
        report = entry.awaitReport();
      }
      assertEquals(ImmutableSet.of(LOWER_RUN, UPPER_RUN), decode(report.getRunsList()));
      assertEquals(0, report.getTextIdRunsCount());
    }
  }

  /** Joins the group as another entry, until it owns the partition of the ids. */
  private void joinAsOwner(ScriptedEntry entry) {
    int partition = LOWER.partition(WorkflowTestCluster.PARTITIONS);
    long[] generation = {0};
    cluster.await(
        "the other entry owns the partition",
        () -> {
          Joined joined = (Joined) cluster.store().join(entry.member(), generation[0]).join();
          generation[0] = joined.generation();
          Owners owners = (Owners) cluster.store().owners().join();
          return entry.member().equals(owners.byPartition().get(partition));
        });
  }

  private CompletableFuture<QueryResult> query(WorkflowId id, boolean cancel) {
    return cluster.entry(0).entry().query(id, "queue", cancel);
  }

  /** Guards against an older owner that answers for, or cancels, another workflow. */
  @Test
  void olderOwnerIsAskedOfWhatItCanRepresent() throws Exception {
    cluster.addEntry();
    cluster.awaitReady();
    try (ScriptedEntry owner = new ScriptedEntry()) {
      joinAsOwner(owner);
      LinkConnection link = owner.awaitConnection();
      CompletableFuture<QueryResult> asked = query(LOWER, false);
      WorkflowQuery query = owner.awaitQuery();
      assertEquals(NUMBER, query.getWorkflow());
      assertEquals("", query.getWorkflowId());
      owner.send(
          link,
          Frame.newBuilder()
              .setWorkflowQueryAnswer(
                  WorkflowQueryAnswer.newBuilder()
                      .setId(query.getId())
                      .setResult(QueryResult.RUNNING.number()))
              .build());
      assertEquals(QueryResult.RUNNING, asked.join());
      assertEquals(QueryResult.UNAVAILABLE, query(UPPER, false).join());
      assertEquals(QueryResult.UNAVAILABLE, query(UPPER, true).join());
      assertFalse(owner.hasFurtherQuery(), "the owner was asked of an id that it would change");

      owner.send(link, Frame.newBuilder().setPong(Pong.newBuilder().setReadsTextIds(true)).build());
      boolean[] isAsked = {false};
      cluster.await(
          "the owner is asked once it tells that it reads texts",
          () -> {
            query(UPPER, true);
            isAsked[0] |= owner.hasFurtherQuery();
            return isAsked[0];
          });
      WorkflowQuery cancel = owner.awaitQuery();
      assertEquals(UPPER.toString(), cancel.getWorkflowId());
      assertTrue(cancel.getCancel());
    }
  }
}
