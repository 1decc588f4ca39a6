package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.daemon.workflow.WorkflowStore.Writer;
import io.marigoldsail.workflow.WorkflowSpec;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Records that another writer has left under keys or in partitions of its choice. */
class ForeignRecordsTest {
  private static final int PARTITIONS = 2;

  private final VirtualLoop time = new VirtualLoop();
  private final FakeWorkflowStore store = new FakeWorkflowStore(PARTITIONS, time.timer());
  private long sequence;

  /** Returns an id above the given one whose key contains letters. */
  private static long idIn(int partition, long above) {
    return LongStream.iterate(above + 1, id -> id + 1)
        .filter(id -> TestIds.id(id).partition(PARTITIONS) == partition)
        .filter(id -> !TestIds.id(id).toString().equals(upperCaseKey(id)))
        .findFirst()
        .orElseThrow();
  }

  private static String upperCaseKey(long id) {
    return TestIds.id(id).toString().toUpperCase(java.util.Locale.ROOT);
  }

  private void submit(int partition, WorkflowSpec spec) {
    KeyedRecord submission = new KeyedRecord(spec.id().toString(), WorkflowCodec.encode(spec));
    store.append(Topic.SUBMISSIONS, partition, List.of(submission), Optional.empty());
  }

  private void writeProgress(int partition, String key) {
    KeyedRecord progress = new KeyedRecord(key, ByteString.copyFromUtf8("no progress"));
    store.append(
        Topic.PROGRESS, partition, List.of(progress), Optional.of(new Writer(0, sequence++)));
  }

  private OwnedPartition open(int partition) {
    OwnedPartition opened =
        new OwnedPartition(
            store, time.loop(), time.clocks(), partition, 1, new NoOpOwnershipListener());
    opened.open();
    time.advance(100);
    assertTrue(opened.isActive());
    return opened;
  }

  /** Guards against two owners that order the same runs: a submission was copied. */
  @Test
  void submissionInAnotherPartitionIsPassedOver() {
    long copied = idIn(1, 0xa000);
    long sound = idIn(0, 0xa000);
    submit(0, WorkflowTestCluster.workflow(copied, 1));
    submit(0, WorkflowTestCluster.workflow(sound, 1));
    OwnedPartition opened = open(0);
    submit(0, WorkflowTestCluster.workflow(idIn(1, copied), 1));
    time.advance(100);
    assertEquals(
        List.of(TestIds.id(sound)),
        opened.workflows().stream().map(each -> each.spec().id()).toList());
  }

  /**
   * Guards against a workflow that never runs, since a record under a similar key is unreadable.
   */
  @Test
  void progressUnderAnotherSpellingOfTheKeyIsPassedOver() {
    long id = idIn(0, 0xa000);
    submit(0, WorkflowTestCluster.workflow(id, 1));
    writeProgress(0, upperCaseKey(id));
    OwnedPartition opened = open(0);
    assertFalse(opened.mayExist(TestIds.id(id)));
    assertEquals(WorkflowStatus.QUEUED, opened.workflow(TestIds.id(id)).orElseThrow().status());
  }
}
