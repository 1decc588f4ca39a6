package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The store does not take the record of one workflow, on virtual time. */
class RejectedRecordsTest {
  private static final long REJECTED = 1;
  private static final String KEY = TestIds.id(REJECTED).toString();
  private static final int OTHERS = 5;

  /** Takes half of the processors of the VM; the others together take more than the rest. */
  private static final int WIDTH = 64;

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, 60_000);
  private final VirtualCluster.Side side = cluster.addSide("vm-0");
  private final Set<RunKey> started = new HashSet<>();

  @BeforeEach
  void settle() {
    side.onStart(started::add);
    cluster.advance(4_000);
  }

  private void submit(long id, int width) {
    assertInstanceOf(Appended.class, entry.submit(WorkflowTestCluster.workflow(id, width)));
  }

  private static LongStream othersOfThePartition() {
    int partition = TestIds.id(REJECTED).partition(VirtualCluster.PARTITIONS);
    return LongStream.iterate(REJECTED + 1, id -> id + 1)
        .filter(id -> TestIds.id(id).partition(VirtualCluster.PARTITIONS) == partition)
        .limit(OTHERS);
  }

  private long startedOf(long id) {
    return started.stream().filter(run -> run.task().workflow().equals(TestIds.id(id))).count();
  }

  /**
   * Guards against one workflow that holds up its partition, or that keeps the capacity which was
   * reserved for runs that are never ordered.
   */
  @Test
  void otherWorkflowsRunInTheCapacityThatTheRejectedOneWasPlacedIn() {
    cluster.store().reject(KEY);
    submit(REJECTED, WIDTH);
    cluster.advance(1_000);
    othersOfThePartition().forEach(id -> submit(id, 20));
    cluster.advance(5_000);
    assertEquals(0, startedOf(REJECTED));
    othersOfThePartition().forEach(id -> assertEquals(20, startedOf(id)));
  }

  /**
   * Guards against a workflow that never runs, as what the store refused was never written again.
   */
  @Test
  void workflowRunsOnceItsRecordIsTaken() {
    cluster.store().reject(KEY);
    submit(REJECTED, 3);
    cluster.advance(5_000);
    assertTrue(cluster.store().appendsRejected() > 0);
    assertEquals(0, startedOf(REJECTED));
    cluster.store().rejectNone();
    cluster.advance(5_000);
    assertEquals(3, startedOf(REJECTED));
  }

  /**
   * Guards against an end that its worker forgets before it is durable: the task would run again.
   */
  @Test
  void endIsAcknowledgedOnlyOnceItIsDurable() {
    submit(REJECTED, 1);
    cluster.advance(1_000);
    RunKey run = new RunKey(TestIds.task(REJECTED, 0, 0, 0), 1);
    assertEquals(Set.of(run), started);
    cluster.store().reject(KEY);
    side.execute(() -> side.worker().endRun(run, RunOutcome.DONE));
    cluster.advance(5_000);
    assertEquals(0, side.worker().acknowledgedUpTo());
    assertEquals(QueryResult.RUNNING, entry.query(REJECTED, false));
    cluster.store().rejectNone();
    cluster.advance(5_000);
    assertEquals(1, side.worker().acknowledgedUpTo());
    assertEquals(QueryResult.DONE, entry.query(REJECTED, false));
    assertEquals(Set.of(run), started);
  }

  /** Guards against a caller that is told of a cancel which the next owner does not know. */
  @Test
  void cancelIsAnsweredOnlyOnceItIsDurable() {
    submit(REJECTED, 1);
    cluster.advance(1_000);
    cluster.store().reject(KEY);
    assertEquals(QueryResult.UNAVAILABLE, entry.query(REJECTED, true));
    cluster.store().rejectNone();
    cluster.advance(3_000);
    assertEquals(QueryResult.CANCELLED, entry.query(REJECTED, true));
  }

  /** The same for a workflow that is not known. */
  @Test
  void cancelOfAnUnknownWorkflowIsAnsweredOnlyOnceItIsDurable() {
    cluster.store().reject(KEY);
    assertEquals(QueryResult.UNAVAILABLE, entry.query(REJECTED, true));
    cluster.store().rejectNone();
    cluster.advance(3_000);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, entry.query(REJECTED, true));
  }
}
