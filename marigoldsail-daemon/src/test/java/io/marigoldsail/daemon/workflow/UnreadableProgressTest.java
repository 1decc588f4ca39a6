package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkflowSpec;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class UnreadableProgressTest {
  private static final long WORKFLOW = 301;

  /** The tag of a field of length 16 that is cut off. */
  private static final ByteString UNREADABLE = ByteString.copyFrom(new byte[] {0x1a, 0x10});

  private final WorkflowTestCluster cluster = new WorkflowTestCluster();

  @AfterEach
  void stop() {
    cluster.close();
  }

  private void append(Topic topic, ByteString value) {
    int partition = TestIds.id(WORKFLOW).partition(WorkflowTestCluster.PARTITIONS);
    KeyedRecord keyed = new KeyedRecord(TestIds.id(WORKFLOW).toString(), value);
    assertInstanceOf(
        Appended.class,
        cluster.store().append(topic, partition, List.of(keyed), Optional.empty()).join());
  }

  private static long otherWorkflowOfThePartition() {
    int partition = TestIds.id(WORKFLOW).partition(WorkflowTestCluster.PARTITIONS);
    return LongStream.iterate(WORKFLOW + 1, id -> id + 1)
        .filter(id -> TestIds.id(id).partition(WorkflowTestCluster.PARTITIONS) == partition)
        .findFirst()
        .getAsLong();
  }

  /**
   * A record that this version cannot read hides which tasks are done. A workflow that begins anew
   * runs them a second time; one that counts as unknown is lost to its caller.
   */
  @Test
  void workflowWithUnreadableProgressDoesNotBeginAnew() throws IOException {
    append(Topic.SUBMISSIONS, WorkflowCodec.encode(WorkflowTestCluster.workflow(WORKFLOW, 1)));
    append(Topic.PROGRESS, UNREADABLE);
    cluster.start(1, 1, 20);
    long other = otherWorkflowOfThePartition();
    WorkflowSpec readable = WorkflowTestCluster.workflow(other, 1);
    assertInstanceOf(Appended.class, cluster.entry(0).entry().submit(readable).join());
    cluster.await("the other workflow is done", () -> cluster.status(0, other) == QueryResult.DONE);
    assertEquals(
        List.of(new RunKey(TestIds.task(other, 0, 0, 0), 1)),
        cluster.side("vm-0").worker().startRequests());
    assertEquals(QueryResult.UNAVAILABLE, cluster.status(0, WORKFLOW));
  }
}
