package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.Owners;
import io.marigoldsail.workflow.QueryResult;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Partitions that the store reassigns at once, over real links. */
class ReassignedPartitionsTest {
  private final WorkflowTestCluster cluster = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    cluster.close();
  }

  private Map<Integer, String> owners() {
    return ((Owners) cluster.store().owners().join()).byPartition();
  }

  /**
   * Reassigns the partitions to the entries of the indices and waits until those that have another
   * owner than before are written by it; returns the owners.
   */
  private Map<Integer, String> reassign(Integer... entries) {
    Map<Integer, String> before = owners();
    List<Long> epochs =
        IntStream.range(0, entries.length).mapToObj(cluster.store()::epoch).toList();
    cluster
        .store()
        .reassign(Stream.of(entries).map(index -> cluster.entry(index).memberPrefix()).toList());
    Map<Integer, String> after = owners();
    cluster.await(
        "the new owners write",
        () ->
            IntStream.range(0, entries.length)
                .filter(each -> !after.get(each).equals(before.get(each)))
                .allMatch(each -> cluster.store().epoch(each) > epochs.get(each)));
    return after;
  }

  /** Returns the id of a workflow of the partition. */
  private static long workflowOf(int partition, int round) {
    return LongStream.iterate(1, id -> id + 1)
        .filter(id -> TestIds.id(id).partition(WorkflowTestCluster.PARTITIONS) == partition)
        .skip(round)
        .findFirst()
        .getAsLong();
  }

  /** Runs workflows of two steps, one in each partition. */
  private void runWorkflows(int round) {
    List<Long> workflows =
        IntStream.range(0, WorkflowTestCluster.PARTITIONS)
            .mapToObj(partition -> workflowOf(partition, round))
            .toList();
    for (long id : workflows) {
      assertInstanceOf(
          Appended.class,
          cluster.entry(0).entry().submit(WorkflowTestCluster.workflow(id, 1, 1)).join());
    }
    cluster.await(
        "all workflows are done",
        () -> workflows.stream().allMatch(id -> cluster.status(0, id) == QueryResult.DONE));
  }

  /**
   * Guards against accepted workflows that stand still after their first step, because the side
   * processes report its end to the former owner of the partition.
   */
  @Test
  void workflowsGoOnThoughTheOwnersBeforeAndAfterHaveTheSameHashCode() throws IOException {
    cluster.start(2, 1, 20);
    cluster.await("the partitions are balanced", cluster.store()::isBalanced);
    runWorkflows(0);
    Map<Integer, String> before = reassign(0, 1, 1, 0, 0, 1);
    runWorkflows(1);
    Map<Integer, String> after = reassign(1, 0, 0, 1, 0, 1);
    assertEquals(before.hashCode(), after.hashCode());
    runWorkflows(2);
  }
}
