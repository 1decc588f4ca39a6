package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.VirtualStoreClient.Call;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.Fate;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.ReadContent;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendUnknown;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Cancels of workflows whose submission the owner has not read yet, on virtual time. Each test
 * guards against a cancel that is answered as if the workflow did not exist, after which it runs.
 */
class CancelOfUnreadSubmissionTest {
  private static final long ID = 95;
  private static final int ENTRIES = 3;
  private static final long RETENTION_MILLIS = 120_000;
  private static final long SETTLED_MILLIS = 6_000;

  /** Time in which a store in order executes an append. */
  private static final long APPEND_MILLIS = 20;

  /** Longer than the answer to a read takes in a store in order. */
  private static final long SLOW_ANSWER_MILLIS = 300;

  private static final long LATE_MILLIS = 4_000;
  private static final long QUERY_TIMEOUT_MILLIS = 1_000;

  /** Time in which a workflow that was not cancelled starts. */
  private static final long START_MILLIS = 8_000;

  private final VirtualCluster cluster = new VirtualCluster();
  private final List<VirtualCluster.Entry> entries = new ArrayList<>();
  private VirtualCluster.Side side;
  private VirtualCluster.Entry owner;
  private VirtualCluster.Entry accepting;
  private VirtualCluster.Entry third;

  @BeforeEach
  void start() {
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(cluster.addEntry(i, RETENTION_MILLIS));
    }
    side = cluster.addSide("vm-0");
    cluster.advance(SETTLED_MILLIS);
    String ownerName = cluster.ownerOf(ID);
    owner =
        entries.stream()
            .filter(each -> ownerName.startsWith(each.memberPrefix() + "/"))
            .findFirst()
            .orElseThrow();
    List<VirtualCluster.Entry> others = entries.stream().filter(each -> each != owner).toList();
    accepting = others.get(0);
    third = others.get(1);
  }

  private CompletableFuture<AppendResult> submit(VirtualCluster.Entry entry) {
    return submit(entry, ID);
  }

  private static CompletableFuture<AppendResult> submit(VirtualCluster.Entry entry, long id) {
    CompletableFuture<AppendResult> submitted = new CompletableFuture<>();
    entry.execute(
        () ->
            entry
                .entry()
                .submit(WorkflowTestCluster.workflow(id, 1))
                .thenAccept(submitted::complete));
    return submitted;
  }

  private void submitAccepted() {
    assertInstanceOf(Appended.class, cluster.await(submit(accepting), APPEND_MILLIS));
  }

  private static CompletableFuture<QueryResult> query(VirtualCluster.Entry entry, boolean cancel) {
    return query(entry, ID, cancel);
  }

  private static CompletableFuture<QueryResult> query(
      VirtualCluster.Entry entry, long id, boolean cancel) {
    CompletableFuture<QueryResult> answer = new CompletableFuture<>();
    entry.execute(
        () -> entry.entry().query(TestIds.id(id), "queue", cancel).thenAccept(answer::complete));
    return answer;
  }

  private QueryResult cancel(VirtualCluster.Entry entry) {
    return cluster.await(query(entry, true), QUERY_TIMEOUT_MILLIS);
  }

  /** Returns another workflow of the same partition. */
  private static long otherOfThePartition() {
    long other = ID + 1;
    while (TestIds.id(other).partition(VirtualCluster.PARTITIONS)
        != TestIds.id(ID).partition(VirtualCluster.PARTITIONS)) {
      other++;
    }
    return other;
  }

  private void delayReadsOfOwner() {
    owner.store.setFates(
        call -> call == Call.READ ? Fate.after(1, SLOW_ANSWER_MILLIS) : Fate.ANSWERED);
    cluster.advance(2_000);
  }

  private void assertNeverStarts() {
    RunKey run = new RunKey(TestIds.task(ID, 0, 0, 0), 1);
    for (long passed = 0; passed < START_MILLIS; passed++) {
      cluster.advance(1);
      assertFalse(side.worker().isActive(run), "runs after " + passed + " ms");
    }
  }

  private void assertCancelled(VirtualCluster.Entry entry) {
    assertEquals(QueryResult.CANCELLED, cancel(entry));
    assertNeverStarts();
    assertEquals(QueryResult.CANCELLED, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
  }

  /** Repeats the cancel until it is answered with a status, which it is in calm times. */
  private void assertCancelledInTheEnd(CompletableFuture<QueryResult> first) {
    QueryResult answer = cluster.await(first, QUERY_TIMEOUT_MILLIS);
    long deadline = cluster.millis() + SETTLED_MILLIS;
    while (answer == QueryResult.UNAVAILABLE && cluster.millis() < deadline) {
      cluster.advance(100);
      answer = cancel(third);
    }
    assertEquals(QueryResult.CANCELLED, answer);
    assertNeverStarts();
  }

  @Test
  void cancelAtTheOwner() {
    delayReadsOfOwner();
    submitAccepted();
    assertCancelled(owner);
  }

  @Test
  void cancelAtTheEntryThatAcceptedTheWorkflow() {
    delayReadsOfOwner();
    submitAccepted();
    assertCancelled(accepting);
  }

  @Test
  void cancelAtAThirdEntry() {
    delayReadsOfOwner();
    submitAccepted();
    assertCancelled(third);
  }

  /** The read for an earlier question began before the submission was accepted. */
  @Test
  void cancelWhileTheOwnerReadsForAnotherQuestion() {
    delayReadsOfOwner();
    CompletableFuture<QueryResult> other = query(owner, otherOfThePartition(), false);
    cluster.advance(50);
    submitAccepted();
    assertCancelled(owner);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.join());
  }

  /** The answer to the owner's read has room for the other submissions of the partition only. */
  @Test
  void cancelOfASubmissionBehindOthers() {
    owner.store.setFates(
        call ->
            call == Call.READ
                ? Fate.after(1, SLOW_ANSWER_MILLIS).withContent(ReadContent.FIRST_RECORD)
                : Fate.ANSWERED);
    cluster.advance(2_000);
    assertInstanceOf(
        Appended.class, cluster.await(submit(third, otherOfThePartition()), APPEND_MILLIS));
    submitAccepted();
    assertCancelled(owner);
  }

  @Test
  void cancelWhileReadOffsetsExpire() {
    owner.store.setFates(
        call -> Fate.after(1, SLOW_ANSWER_MILLIS / 3).withContent(ReadContent.EXPIRED));
    cluster.advance(2_000);
    submitAccepted();
    assertCancelled(owner);
  }

  /** One read that fails is no reason to send the caller away. */
  @Test
  void cancelWhileTheStoreRefusesARead() {
    delayReadsOfOwner();
    submitAccepted();
    owner.store.setFates(call -> call == Call.READ ? Fate.REFUSED : Fate.ANSWERED);
    CompletableFuture<QueryResult> answer = query(accepting, true);
    cluster.advance(50);
    owner.store.setFate(Fate.ANSWERED);
    assertEquals(QueryResult.CANCELLED, cluster.await(answer, QUERY_TIMEOUT_MILLIS));
    assertNeverStarts();
  }

  @Test
  void cancelWhileTheStoreRefusesTheOwner() {
    owner.store.setFate(Fate.REFUSED);
    cluster.advance(50);
    submitAccepted();
    CompletableFuture<QueryResult> answer = query(accepting, true);
    assertEquals(QueryResult.UNAVAILABLE, cluster.await(answer, QUERY_TIMEOUT_MILLIS));
    owner.store.setFate(Fate.ANSWERED);
    assertCancelledInTheEnd(query(owner, true));
  }

  @Test
  void cancelWhileTheStoreIsSilentToTheOwner() {
    owner.store.setFate(Fate.ANSWER_LOST);
    cluster.advance(1_600);
    submitAccepted();
    CompletableFuture<QueryResult> answer = query(third, true);
    CompletableFuture<QueryResult> answerOfOwner = query(owner, true);
    assertEquals(QueryResult.UNAVAILABLE, cluster.await(answer, QUERY_TIMEOUT_MILLIS));
    assertEquals(QueryResult.UNAVAILABLE, answerOfOwner.getNow(QueryResult.RUNNING));
    owner.store.setFate(Fate.ANSWERED);
    assertCancelledInTheEnd(query(owner, true));
  }

  @Test
  void cancelWhileThePartitionMoves() {
    delayReadsOfOwner();
    submitAccepted();
    CompletableFuture<QueryResult> answer = query(owner, true);
    cluster.advance(10);
    cluster.store().reassignAll();
    assertCancelledInTheEnd(answer);
  }

  /** The query of another entry waits for the suspended owner, whose last read is recent. */
  @Test
  void cancelWhileTheOwnerIsSuspended() {
    delayReadsOfOwner();
    owner.pause(600);
    cluster.advance(10);
    submitAccepted();
    assertCancelledInTheEnd(query(accepting, true));
  }

  /** A submission that nobody accepted may be taken by the store late, or be sent again. */
  @Test
  void submissionExecutedAfterItsCancel() {
    accepting.store.setFates(
        call -> call == Call.APPEND ? Fate.after(LATE_MILLIS, 1) : Fate.ANSWERED);
    CompletableFuture<AppendResult> submitted = submit(accepting);
    cluster.advance(100);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(third));
    assertInstanceOf(AppendUnknown.class, cluster.await(submitted, LATE_MILLIS));
    cluster.advance(LATE_MILLIS);
    assertNeverStarts();
    assertEquals(QueryResult.CANCELLED, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
  }

  @Test
  void submissionSentAgainAfterItsCancel() {
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(third));
    submitAccepted();
    assertNeverStarts();
    assertEquals(QueryResult.CANCELLED, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
  }

  /** The owner that reads the submission is not the one that answered the cancel. */
  @Test
  void submissionExecutedAfterItsCancelUnderAnotherOwner() {
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(owner));
    cluster.store().reassignAll();
    cluster.advance(SETTLED_MILLIS);
    assertNotEquals(owner.memberPrefix(), cluster.ownerOf(ID).split("/")[0]);
    submitAccepted();
    assertNeverStarts();
    assertEquals(QueryResult.CANCELLED, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
  }

  /** Guards against a cancel that no longer holds, though it was repeated shortly before. */
  @Test
  void repeatedCancelHoldsAsLongAsTheFirst() {
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(third));
    cluster.advance(RETENTION_MILLIS - 2 * SETTLED_MILLIS);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(third));
    cluster.advance(4 * SETTLED_MILLIS);
    submitAccepted();
    assertNeverStarts();
  }

  /** Guards against a repeat that runs, as its cancelled workflow was evicted too early. */
  @Test
  void workflowCancelledLongBeforeIsRetainedFromItsSubmissionOn() {
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(third));
    cluster.advance(RETENTION_MILLIS - SETTLED_MILLIS);
    submitAccepted();
    cluster.store().reassignAll();
    cluster.advance(3 * SETTLED_MILLIS);
    assertEquals(QueryResult.CANCELLED, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
    submitAccepted();
    assertNeverStarts();
  }

  /** Guards against entries that answer no cancel of a workflow that does not exist. */
  @Test
  void cancelOfAWorkflowThatDoesNotExistIsAnswered() {
    for (VirtualCluster.Entry entry : entries) {
      assertEquals(QueryResult.UNKNOWN_WORKFLOW, cancel(entry));
    }
  }

  /** Guards against a caller that is never answered, as its cancel cannot be kept. */
  @Test
  void cancelThatCannotBeKeptIsAnswered() {
    owner.store.setFates(call -> call == Call.APPEND ? Fate.REQUEST_LOST : Fate.ANSWERED);
    assertEquals(QueryResult.UNAVAILABLE, cancel(owner));
  }

  /** Guards against accepted workflows that never start. */
  @Test
  void workflowThatNobodyCancelsStarts() {
    submitAccepted();
    RunKey run = new RunKey(TestIds.task(ID, 0, 0, 0), 1);
    cluster.advance(START_MILLIS);
    assertEquals(QueryResult.RUNNING, cluster.await(query(third, false), QUERY_TIMEOUT_MILLIS));
    assertTrue(side.worker().isActive(run));
  }
}
