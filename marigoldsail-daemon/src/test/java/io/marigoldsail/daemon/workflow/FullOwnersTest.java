package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.daemon.workflow.WorkflowStore.Appended;
import io.marigoldsail.daemon.workflow.WorkflowStore.OwnersFull;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

/** What entries accept while owners keep as much as they may, on virtual time. */
class FullOwnersTest {
  private static final int MAX_BYTES = 64 * 1024;
  private static final long RETENTION_MILLIS = 10_000;
  private static final long SETTLED_MILLIS = 4_000;
  private static final int MANY = 1_000;

  private final VirtualCluster cluster = new VirtualCluster();

  private static WorkflowSpec spec(long id) {
    return WorkflowTestCluster.workflow(id, 1);
  }

  private int acceptedOf(VirtualCluster.Entry entry, int first) {
    int accepted = 0;
    while (accepted < MANY && entry.submit(spec(first + accepted)) instanceof Appended) {
      accepted++;
    }
    return accepted;
  }

  /** Guards against work that is accepted until its owner is out of memory, by any entry. */
  @Test
  void submissionsBeyondTheLimitAreRefusedByAllEntriesAtOnce() {
    cluster.limitRetainedBytes(MAX_BYTES);
    VirtualCluster.Entry first = cluster.addEntry(0, RETENTION_MILLIS);
    VirtualCluster.Entry second = cluster.addEntry(1, RETENTION_MILLIS);
    cluster.advance(SETTLED_MILLIS);
    int accepted = acceptedOf(first, 0);
    long each = spec(0).footprintBytes();
    assertTrue(accepted * each <= MAX_BYTES, "accepted " + accepted);
    assertTrue((accepted + 1) * each > MAX_BYTES, "accepted " + accepted);
    cluster.advance(SETTLED_MILLIS);
    int more = acceptedOf(second, MANY);
    assertTrue((accepted + more) * each <= MAX_BYTES, "accepted " + more + " more");
    assertInstanceOf(OwnersFull.class, second.submit(spec(MANY + more)));
  }

  /** Guards against a caller that is told that its accepted workflow never runs. */
  @Test
  void repeatedSubmissionOfAcceptedWorkIsNotRefused() {
    cluster.limitRetainedBytes(MAX_BYTES);
    VirtualCluster.Entry first = cluster.addEntry(0, RETENTION_MILLIS);
    VirtualCluster.Entry second = cluster.addEntry(1, RETENTION_MILLIS);
    cluster.advance(SETTLED_MILLIS);
    int accepted = acceptedOf(first, 0);
    cluster.advance(SETTLED_MILLIS);
    for (int id = 0; id < accepted; id++) {
      assertInstanceOf(Appended.class, (id % 2 == 0 ? first : second).submit(spec(id)));
    }
  }

  /** Room comes as ended workflows are forgotten. */
  @Test
  void submissionsAreAcceptedAgainOnceEndedWorkflowsAreForgotten() {
    cluster.limitRetainedBytes(MAX_BYTES);
    VirtualCluster.Entry entry = cluster.addEntry(0, RETENTION_MILLIS);
    VirtualCluster.Side side = cluster.addSide("vm-0");
    side.onStart(
        run ->
            cluster.after(
                200, () -> side.execute(() -> side.worker().endRun(run, RunOutcome.DONE))));
    cluster.advance(SETTLED_MILLIS);
    int accepted = acceptedOf(entry, 0);
    assertTrue(accepted < MANY);
    cluster.advance(3 * RETENTION_MILLIS);
    int again = acceptedOf(entry, MANY);
    assertTrue(again > accepted / 2, () -> again + " after " + accepted);
  }
}
