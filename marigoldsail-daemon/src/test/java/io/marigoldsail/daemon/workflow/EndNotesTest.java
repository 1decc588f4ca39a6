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

/** Acknowledgement of ends of runs by their owner, on virtual time. */
class EndNotesTest {
  private static final RunKey UNKNOWN = new RunKey(new TaskKey(7, 0, 0, 0), 1);
  private static final long SUCCESSOR_EPOCH = 1_000_000;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(1, time.timer());
  private final RefusingStore reached = new RefusingStore(store);
  private final Ownership ownership =
      new Ownership(
          reached, time.loop(), new EntryMember("127.0.0.1", 1, 1), new IgnoringOwnership());
  private final EndNotes notes = new EndNotes(time.loop());
  private final List<RunKey> noted = new ArrayList<>();

  @BeforeEach
  void ownPartition() {
    ownership.start();
    time.advance(500);
  }

  private void hearOfEnd(RunKey run) {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    notes.take(partition, run, "vm-0", () -> noted.add(run));
  }

  /**
   * An end that a former owner acknowledges is never reported to the current owner, which would run
   * the task again.
   */
  @Test
  void aFormerOwnerDoesNotNoteTheEndOfWhatItsSuccessorOrdered() {
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    hearOfEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(), noted);
  }

  /** The same, while the former owner cannot reach the store. */
  @Test
  void anOwnerThatIsCutOffFromTheStoreNotesNoEndThatItDoesNotKnow() {
    reached.refuse(true);
    hearOfEnd(UNKNOWN);
    time.advance(5_000);
    assertEquals(List.of(), noted);
  }

  private Workflow ownWorkflow() {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    partition.add(WorkflowWorld.workflow(UNKNOWN.task().workflow(), 1));
    return partition.workflow(UNKNOWN.task().workflow()).orElseThrow();
  }

  private static RunKey order(Workflow workflow) {
    return workflow.order(workflow.tasks().get(0), new Place("vm-0", "incarnation-1"));
  }

  /** An end that is acknowledged before its workflow has recorded it makes the task run again. */
  @Test
  void theEndOfARunThatCountsAsOpenIsNotNoted() {
    RunKey open = order(ownWorkflow());
    hearOfEnd(open);
    time.advance(100);
    assertEquals(List.of(), noted);
  }

  /** Otherwise a worker would retain the ends of superseded attempts forever. */
  @Test
  void theEndOfAnEarlierAttemptIsNoted() {
    Workflow workflow = ownWorkflow();
    RunKey first = order(workflow);
    workflow.ended(first, RunOutcome.LOST, "", 0);
    order(workflow);
    hearOfEnd(first);
    time.advance(100);
    assertEquals(List.of(first), noted);
  }

  /**
   * A later owner has ordered an attempt that is unknown here; if its end were acknowledged here, the
   * task would run again.
   */
  @Test
  void aFormerOwnerDoesNotNoteTheEndOfALaterAttempt() {
    Workflow workflow = ownWorkflow();
    RunKey first = order(workflow);
    workflow.ended(first, RunOutcome.LOST, "", 0);
    store.append(Topic.PROGRESS, 0, List.of(), Optional.of(new Writer(SUCCESSOR_EPOCH, 0)));
    hearOfEnd(new RunKey(first.task(), first.attempt() + 1));
    time.advance(100);
    assertEquals(List.of(), noted);
  }

  /** The state change of the end is dropped with the ownership, so it is not durable. */
  @Test
  void aReleasedPartitionNotesNothing() {
    OwnedPartition partition = Iterables.getOnlyElement(ownership.active());
    RunKey run = order(ownWorkflow());
    partition.workflow(run.task().workflow()).orElseThrow().ended(run, RunOutcome.DONE, "", 0);
    partition.close();
    notes.take(partition, run, "vm-0", () -> noted.add(run));
    time.advance(100);
    assertEquals(List.of(), noted);
  }

  /** Otherwise a worker would retain the ends of evicted workflows forever. */
  @Test
  void theOwnerNotesAnEndThatItDoesNotKnow() {
    hearOfEnd(UNKNOWN);
    time.advance(100);
    assertEquals(List.of(UNKNOWN), noted);
  }
}
