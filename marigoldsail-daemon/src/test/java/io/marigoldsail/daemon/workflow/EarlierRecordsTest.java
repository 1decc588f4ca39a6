package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import io.marigoldsail.protocol.WorkflowSubmission;
import io.marigoldsail.workflow.QueryResult;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Records of versions that identified a workflow by a number, and records as they read them. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EarlierRecordsTest {
  private static final WorkflowId LOWER = WorkflowId.of("5c0e7a21d94b36f8");
  private static final WorkflowId UPPER = WorkflowId.of("5C0E7A21D94B36F8");
  private static final long NUMBER = 0x5c0e7a21d94b36f8L;
  private static final long RETENTION_MILLIS = 20_000;

  private final VirtualCluster cluster = new VirtualCluster();
  private final VirtualCluster.Entry entry = cluster.addEntry(0, RETENTION_MILLIS);
  private final VirtualCluster.Entry other = cluster.addEntry(1, RETENTION_MILLIS);
  private final List<RunKey> started = new ArrayList<>();

  private void startSide() {
    cluster.addSide("vm-0").onStart(started::add);
    cluster.advance(3_000);
  }

  private static WorkflowSubmission submission(WorkflowId id) {
    try {
      return WorkflowSubmission.parseFrom(
          WorkflowCodec.encode(WorkflowTestCluster.workflow(id, 1)));
    } catch (InvalidProtocolBufferException e) {
      throw new AssertionError(e);
    }
  }

  /** Appends the submission of the workflow as an earlier version does. */
  private void submitAsEarlierVersion() {
    ByteString record = submission(LOWER).toBuilder().clearWorkflowId().build().toByteString();
    KeyedRecord keyed = new KeyedRecord(LOWER.toString(), record);
    int partition = LOWER.partition(VirtualCluster.PARTITIONS);
    cluster.await(
        cluster.store().append(Topic.SUBMISSIONS, partition, List.of(keyed), Optional.empty()),
        1_000);
    cluster.advance(1_000);
  }

  private void submit(VirtualCluster.Entry at, WorkflowId id) {
    WorkflowSpec spec = WorkflowTestCluster.workflow(id, 1);
    assertInstanceOf(Appended.class, at.submit(spec));
  }

  private List<WorkflowId> startedWorkflows() {
    return started.stream().map(run -> run.task().workflow()).distinct().sorted().toList();
  }

  /** Guards against accepted work that is lost as its record has another form. */
  @Test
  void workflowOfAnEarlierVersionRuns() {
    startSide();
    submitAsEarlierVersion();
    assertEquals(List.of(LOWER), startedWorkflows());
    assertEquals(QueryResult.RUNNING, entry.query(LOWER, false));
    assertEquals(QueryResult.RUNNING, other.query(LOWER, false));
    assertEquals(QueryResult.CANCELLED, other.query(LOWER, true));
    cluster.rethrowFailure();
  }

  /**
   * Guards against a caller that is told that its job does not exist, or that cancels the job of
   * another one, as an earlier version has kept the digits of the id in lower case.
   */
  @Test
  void workflowThatAnEarlierVersionMayHaveAcceptedIsNotDenied() {
    startSide();
    submitAsEarlierVersion();
    for (VirtualCluster.Entry asked : List.of(entry, other)) {
      assertEquals(QueryResult.UNAVAILABLE, asked.query(UPPER, false));
      assertEquals(QueryResult.UNAVAILABLE, asked.query(UPPER, true));
      assertEquals(QueryResult.RUNNING, asked.query(LOWER, false));
    }
    submit(other, UPPER);
    cluster.advance(1_000);
    assertEquals(List.of(UPPER, LOWER), startedWorkflows());
    assertEquals(QueryResult.CANCELLED, entry.query(UPPER, true));
    assertEquals(QueryResult.RUNNING, entry.query(LOWER, false));
    cluster.rethrowFailure();
  }

  /** Guards against a caller that is never told that its job does not exist: it ended long ago. */
  @Test
  void otherSpellingsAreUnknownOnceTheWorkflowIsForgotten() {
    startSide();
    submitAsEarlierVersion();
    assertEquals(QueryResult.CANCELLED, entry.query(LOWER, true));
    cluster.advance(RETENTION_MILLIS / 2);
    assertEquals(QueryResult.UNAVAILABLE, other.query(UPPER, false));
    cluster.advance(RETENTION_MILLIS);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.query(LOWER, false));
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.query(UPPER, false));
    cluster.rethrowFailure();
  }

  /** Guards against a caller that is never told that its job does not exist. */
  @Test
  void otherSpellingsAreUnknownOnceTheCallerHasRepeatedItsId() {
    startSide();
    submitAsEarlierVersion();
    submit(entry, LOWER);
    cluster.advance(1_000);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.query(UPPER, false));
    assertEquals(QueryResult.RUNNING, other.query(LOWER, false));
    assertEquals(1, started.size());
    cluster.rethrowFailure();
  }

  /** Guards against the same where no other spelling of the digits was ever submitted. */
  @Test
  void otherSpellingsOfAKnownIdAreUnknown() {
    startSide();
    submit(entry, LOWER);
    cluster.advance(1_000);
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.query(UPPER, false));
    assertEquals(QueryResult.UNKNOWN_WORKFLOW, other.query(UPPER, true));
    assertEquals(QueryResult.RUNNING, entry.query(LOWER, false));
    cluster.rethrowFailure();
  }

  /** Guards against an owner of an earlier version that loses work, or runs it under another id. */
  @Test
  void earlierVersionsReadTheirOwnIdsAndNoOthers() {
    assertEquals(NUMBER, submission(LOWER).getId());
    assertEquals(0, submission(UPPER).getId());
    // Their key for the number that they read; a record under another key is passed over.
    assertNotEquals(UPPER.toString(), String.format("%016x", submission(UPPER).getId()));
  }
}
