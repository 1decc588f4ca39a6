package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.workflow.VirtualStoreClient.Fate;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The numbers of waiting workflows while partitions move between entries, on virtual time. */
class MovedCountsTest {
  private static final int ENTRIES = 2;
  private static final long RETENTION_MILLIS = 120_000;
  private static final long SETTLED_MILLIS = 3_000;

  /** Time between the starts of two entries, so that they do not join and count in step. */
  private static final long START_INTERVAL_MILLIS = 137;

  /** Times that a call to the store takes, each way: in order, and while it is slow. */
  private static final ImmutableList<Long> STORE_MILLIS = ImmutableList.of(3L, 30L);

  private static final long APPEND_MILLIS = 500;
  private static final int WORKFLOWS = 40;
  private static final long FIRST_ID = 400;

  /** Time from its acceptance after which every entry is to count a workflow that waits. */
  private static final long COUNTED_MILLIS = 3_000 + 2_000;

  private static final int MOVES = 2;
  private static final long MOVE_INTERVAL_MILLIS = 2_500;
  private static final long QUERY_INTERVAL_MILLIS = 5;

  private final VirtualCluster cluster = new VirtualCluster();
  private final List<VirtualCluster.Entry> entries = new ArrayList<>();

  @BeforeEach
  void start() {
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(cluster.addEntry(i, RETENTION_MILLIS));
      cluster.advance(START_INTERVAL_MILLIS);
    }
    cluster.advance(SETTLED_MILLIS);
  }

  private CompletableFuture<AppendResult> submit(long id) {
    VirtualCluster.Entry entry = entries.get(0);
    CompletableFuture<AppendResult> submitted = new CompletableFuture<>();
    entry.execute(
        () ->
            entry
                .entry()
                .submit(WorkflowTestCluster.workflow(id, 1))
                .thenAccept(submitted::complete));
    return submitted;
  }

  private static CompletableFuture<Integer> count(VirtualCluster.Entry entry) {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    entry.execute(() -> entry.entry().waitingWorkflows("queue").thenAccept(count::complete));
    return count;
  }

  private void assertAtLeastHalfIsCounted(String when) {
    List<CompletableFuture<Integer>> counts = entries.stream().map(MovedCountsTest::count).toList();
    cluster.advance(QUERY_INTERVAL_MILLIS);
    for (int i = 0; i < ENTRIES; i++) {
      assertTrue(counts.get(i).isDone(), "entry " + i + " does not answer " + when);
      int counted = counts.get(i).join();
      assertTrue(
          2 * counted >= WORKFLOWS,
          "entry " + i + " counts " + counted + " of " + WORKFLOWS + " workflows " + when);
    }
  }

  /** Guards against entries that count less than half of the workflows that wait. */
  @Test
  void entriesCountWaitingWorkflowsWhilePartitionsMove() {
    // No VM: none of them starts.
    List<CompletableFuture<AppendResult>> submitted =
        LongStream.range(FIRST_ID, FIRST_ID + WORKFLOWS).mapToObj(this::submit).toList();
    submitted.forEach(each -> assertInstanceOf(Appended.class, cluster.await(each, APPEND_MILLIS)));
    cluster.advance(COUNTED_MILLIS + 1);
    assertAtLeastHalfIsCounted("before the first move");
    for (long storeMillis : STORE_MILLIS) {
      entries.forEach(entry -> entry.store.setFate(Fate.after(storeMillis, storeMillis)));
      for (int move = 0; move < MOVES; move++) {
        String owner = cluster.ownerOf(FIRST_ID);
        cluster.store().reassignAll();
        assertNotEquals(owner, cluster.ownerOf(FIRST_ID));
        long movedAt = cluster.millis();
        while (cluster.millis() < movedAt + MOVE_INTERVAL_MILLIS) {
          assertAtLeastHalfIsCounted((cluster.millis() - movedAt) + " ms after a move");
        }
      }
    }
    cluster.rethrowFailure();
  }
}
