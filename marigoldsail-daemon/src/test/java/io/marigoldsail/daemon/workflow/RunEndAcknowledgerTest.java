package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.Iterables;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import io.marigoldsail.protocol.VmReport;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.Workflow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Acknowledgement of ends of runs by their owner, on virtual time. */
class RunEndAcknowledgerTest {
  private static final RunKey UNKNOWN = new RunKey(TestIds.task(7, 0, 0, 0), 1);
  private static final long SUCCESSOR_EPOCH = 1_000_000;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final RefusingStore storeOfOwner = new RefusingStore(store);
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          storeOfOwner,
          time.loop(),
          time::wallMillis,
          new EntryMember("127.0.0.1", 1, 1),
          new NoOpOwnershipListener());
  private final RunEndAcknowledger acknowledger = new RunEndAcknowledger(time.loop());
  private final List<RunKey> acknowledged = new ArrayList<>();

  @BeforeEach
  void ownPartition() {
    ownership.start();
    time.advance(500);
  }

  private void reportEnd(RunKey run) {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    acknowledger.acknowledgeWhenSafe(partition, run, "vm-0", () -> acknowledged.add(run));
  }

  /**
   * An end that a former owner acknowledges is never reported to the current owner, which would run
   * the task again.
   */
  @Test
  void formerOwnerDoesNotAcknowledgeEndOfSuccessorsRun() {
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    reportEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** The same, while the former owner cannot reach the store. */
  @Test
  void ownerWithoutStoreDoesNotAcknowledgeUnknownEnd() {
    storeOfOwner.setRefusing(true);
    reportEnd(UNKNOWN);
    time.advance(5_000);
    assertEquals(List.of(), acknowledged);
  }

  private Workflow ownWorkflow() {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    partition.add(WorkflowTestCluster.workflow(UNKNOWN.task().workflow(), 1));
    return partition.workflow(UNKNOWN.task().workflow()).orElseThrow();
  }

  private static RunKey order(Workflow workflow) {
    return workflow.startAttempt(workflow.tasks().get(0), new Place("vm-0", "incarnation-1"));
  }

  /** An end that is acknowledged before its workflow has recorded it makes the task run again. */
  @Test
  void endOfOpenRunIsNotAcknowledged() {
    RunKey open = order(ownWorkflow());
    reportEnd(open);
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** Otherwise a worker would retain the ends of superseded attempts forever. */
  @Test
  void endOfEarlierAttemptIsAcknowledged() {
    Workflow workflow = ownWorkflow();
    RunKey first = order(workflow);
    workflow.recordEnd(first, RunOutcome.LOST, "", 0);
    order(workflow);
    reportEnd(first);
    time.advance(100);
    assertEquals(List.of(first), acknowledged);
  }

  /**
   * A later owner has ordered an attempt that is unknown here; if its end were acknowledged here,
   * the task would run again.
   */
  @Test
  void formerOwnerDoesNotAcknowledgeEndOfLaterAttempt() {
    Workflow workflow = ownWorkflow();
    RunKey first = order(workflow);
    workflow.recordEnd(first, RunOutcome.LOST, "", 0);
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    reportEnd(new RunKey(first.task(), first.attempt() + 1));
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** The state change of the end is dropped with the ownership, so it is not durable. */
  @Test
  void releasedPartitionAcknowledgesNothing() {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    RunKey run = order(ownWorkflow());
    partition.workflow(run.task().workflow()).orElseThrow().recordEnd(run, RunOutcome.DONE, "", 0);
    partition.close();
    acknowledger.acknowledgeWhenSafe(partition, run, "vm-0", () -> acknowledged.add(run));
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** Otherwise a worker would retain the ends of evicted workflows forever. */
  @Test
  void ownerAcknowledgesUnknownEnd() {
    reportEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(UNKNOWN), acknowledged);
  }

  private VmSession respondToEnd(RunKey run, RunOutcome outcome) {
    VmReport report = VmReport.newBuilder().setVm("vm-0").setWorker("incarnation-1").build();
    VmSession session = new VmSession(null, report, 0);
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    acknowledger.respondWhenSafe(
        partition, session, ScriptedVm.end(run, outcome), () -> acknowledged.add(run));
    time.advance(100);
    return session;
  }

  private RunKey orderAfterLostAttempt(Workflow workflow) {
    RunKey first = order(workflow);
    workflow.recordEnd(first, RunOutcome.LOST, "", 0);
    order(workflow);
    return first;
  }

  /** The VM must be told that the end is superseded, or it reports the end again and again. */
  @Test
  void ownerRespondsToASupersededEnd() {
    RunKey first = orderAfterLostAttempt(ownWorkflow());
    assertTrue(respondToEnd(first, RunOutcome.DONE).hasPendingOrders());
  }

  /**
   * A former owner ordered another attempt that is not durable. Its successor needs the end, which
   * the VM stops reporting once it is called superseded.
   */
  @Test
  void formerOwnerDoesNotCallAnEndSuperseded() {
    RunKey first = orderAfterLostAttempt(ownWorkflow());
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    assertFalse(respondToEnd(first, RunOutcome.DONE).hasPendingOrders());
  }
}
