package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.Call;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.Fate;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.NewestPage;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.workflow.QueryResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What callers can cost who ask for workflows that do not exist, on virtual time. */
class CancelBoundsTest {
  private static final int PARTITION = 0;
  private static final long RETENTION_MILLIS = 10_000;

  /** An entry looks for what it need not retain each five seconds. */
  private static final long EVICTED_MILLIS = RETENTION_MILLIS + 6_000;

  private static final long SETTLED_MILLIS = 3_000;
  private static final long ANSWERED_MILLIS = 1_000;

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, RETENTION_MILLIS);
  private final VirtualCluster.Side side = cluster.addSide("vm-0");
  private int reads;

  @BeforeEach
  void settle() {
    cluster.advance(SETTLED_MILLIS);
  }

  /** Returns ids of one partition. */
  private static LongStream ids(int count) {
    return LongStream.iterate(1, id -> id + 1)
        .filter(id -> TestIds.id(id).partition(VirtualCluster.PARTITIONS) == PARTITION)
        .limit(count);
  }

  private CompletableFuture<QueryResult> query(long id, boolean cancel) {
    CompletableFuture<QueryResult> answer = new CompletableFuture<>();
    entry.execute(
        () -> entry.entry().query(TestIds.id(id), "queue", cancel).thenAccept(answer::complete));
    return answer;
  }

  private List<CompletableFuture<QueryResult>> queryAll(int count, boolean cancel) {
    return ids(count).mapToObj(id -> query(id, cancel)).toList();
  }

  private ImmutableList<KeyedRecord> progress() {
    return ((NewestPage)
            cluster.await(
                cluster.store().readNewest(Topic.PROGRESS, PARTITION, Optional.empty()), 10))
        .records();
  }

  /** Guards against a memory and a store that grow with each cancelled id. */
  @Test
  void cancelsOfUnknownWorkflowsAreKeptInBoundedNumbers() {
    List<CompletableFuture<QueryResult>> answers =
        queryAll(CancelTombstones.MAX_TOMBSTONES + 1, true);
    cluster.advance(ANSWERED_MILLIS);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, answers.get(0).join());
    assertEquals(QueryResult.UNAVAILABLE, Iterables.getLast(answers).join());
    assertEquals(CancelTombstones.MAX_TOMBSTONES, progress().size());
  }

  /** Guards against the same over time; a submission sent long after the cancel starts. */
  @Test
  void cancelsOfUnknownWorkflowsAreDroppedAfterTheRetention() {
    long id = ids(1).sum();
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, cluster.await(query(id, true), ANSWERED_MILLIS));
    assertEquals(1, progress().size());
    cluster.advance(EVICTED_MILLIS);
    assertEquals(List.of(), progress());
    CompletableFuture<AppendResult> submitted = new CompletableFuture<>();
    entry.execute(
        () ->
            entry
                .entry()
                .submit(WorkflowTestCluster.workflow(id, 1))
                .thenAccept(submitted::complete));
    assertInstanceOf(Appended.class, cluster.await(submitted, ANSWERED_MILLIS));
    cluster.advance(SETTLED_MILLIS);
    assertTrue(side.worker().isRunning(id));
  }

  /** Guards against a read of the store for each question. */
  @Test
  void questionsAboutUnknownWorkflowsShareReads() {
    entry.store.setFates(
        call -> {
          reads += call == Call.READ ? 1 : 0;
          return Fate.ANSWERED;
        });
    List<CompletableFuture<QueryResult>> answers = new ArrayList<>();
    ids(400)
        .forEach(
            id -> {
              answers.add(query(id, false));
              cluster.advance(1);
            });
    cluster.advance(ANSWERED_MILLIS);
    answers.forEach(answer -> assertEquals(QueryResult.UNKNOWN_WORKFLOW, answer.join()));
    long tails = 2L * VirtualCluster.PARTITIONS;
    assertTrue(reads <= 400 / 40 + 2 + tails, "reads: " + reads);
  }

  /** Guards against a memory that grows with the questions while the store is silent. */
  @Test
  void questionsBeyondTheLimitAreTurnedAway() {
    List<CompletableFuture<QueryResult>> answers = queryAll(SubmissionTail.MAX_WAITING + 1, false);
    cluster.advance(ANSWERED_MILLIS);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, answers.get(0).join());
    assertEquals(QueryResult.UNAVAILABLE, Iterables.getLast(answers).join());
  }
}
