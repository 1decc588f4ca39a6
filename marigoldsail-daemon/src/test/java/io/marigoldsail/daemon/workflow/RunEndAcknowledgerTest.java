package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.collect.Iterables;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import io.marigoldsail.workflow.Place;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.Workflow;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When an owner notes ends of runs that it has no record of, on virtual time. */
class RunEndAcknowledgerTest {
  private static final RunKey UNKNOWN = new RunKey(new TaskKey(7, 0, 0, 0), 1);
  private static final long SUCCESSOR_EPOCH = 1_000_000;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final RefusingStore storeOfOwner = new RefusingStore(store);
  private final PartitionOwnership ownership =
      new PartitionOwnership(
          storeOfOwner,
          time.loop(),
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

  /** Guards against a task that runs again: its owner never hears of an end that another noted. */
  @Test
  void formerOwnerDoesNotAcknowledgeEndOfSuccessorsRun() {
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    reportEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** Guards against the same while the former owner cannot reach the store. */
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
    return workflow.startAttempt(workflow.tasks().get(0), new Place("vm-0", "life-1"));
  }

  /** Guards against a task that runs again: its workflow has not taken the end that is noted. */
  @Test
  void endOfOpenRunIsNotAcknowledged() {
    RunKey open = order(ownWorkflow());
    reportEnd(open);
    time.advance(100);
    assertEquals(List.of(), acknowledged);
  }

  /** Guards against a worker that keeps ends for good of attempts that were followed by others. */
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

  /** Guards against a task that runs again: a later owner has ordered an attempt not known here. */
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

  /** Guards against ends that are noted though what they changed was dropped with the ownership. */
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

  /** Guards against a worker that keeps ends for good whose workflows are forgotten. */
  @Test
  void ownerAcknowledgesUnknownEnd() {
    reportEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(UNKNOWN), acknowledged);
  }
}
