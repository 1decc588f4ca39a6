package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import io.marigoldsail.workflow.WorkflowIds;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A worker that runs tasks of two owners, on virtual time. */
class WorkerSessionOwnersTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final int PARTITIONS = 2;
  private static final long STEP_MILLIS = 100;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);

  private WorkerSession session() {
    WorkerSession session =
        new WorkerSession(
            time.loop(),
            worker,
            ScriptedWorker.heartbeat("life-1"),
            worker.listing(),
            PARTITIONS,
            TERMS,
            new IgnoringListener());
    session.start();
    return session;
  }

  private static RunKey runOf(int partition) {
    long workflow =
        LongStream.iterate(1, id -> id + 1)
            .filter(id -> WorkflowIds.partition(id, PARTITIONS) == partition)
            .findFirst()
            .getAsLong();
    return new RunKey(new TaskKey(workflow, 0, 0, 0), 1);
  }

  private static void recordEvidence(WorkerSession session, int partition) {
    session.recordEvidence(partition, 1, session.workerClockLowerBound());
  }

  private static void start(WorkerSession session, RunKey run) {
    session.start(
        run,
        StartRun.newBuilder().setTask(WorkflowCodec.encode(run)).setMilliProcessors(1).build(),
        "program");
  }

  /** Guards against a task that runs again beside an end that is noted once its owner is back. */
  @Test
  void anEndIsNotNotedOnceItsOwnerMayHaveOrderedAnotherAttempt() {
    WorkerSession session = session();
    recordEvidence(session, 0);
    recordEvidence(session, 1);
    start(session, runOf(0));
    start(session, runOf(1));
    time.advance(500);
    recordEvidence(session, 0);
    worker.endRun(runOf(0));
    for (long silent = 0; silent < TERMS.takeoverMillis() + 1_000; silent += STEP_MILLIS) {
      recordEvidence(session, 1);
      time.advance(STEP_MILLIS);
    }
    recordEvidence(session, 0);
    session.acknowledgeEnd(runOf(0));
    time.advance(1_000);
    assertTrue(
        worker.isExtendedAfterExpiry() || worker.acknowledgedUpTo() == 0,
        "noted " + worker.acknowledgedUpTo());
  }

  /** Guards against a task in two places: an order of the life before is carried out late. */
  @Test
  void aRunThatIsRefusedAfterARestartIsForbiddenToTheWorker() {
    worker.addActiveRun(runOf(1));
    WorkerSession session = session();
    recordEvidence(session, 0);
    start(session, runOf(0));
    time.advance(300);
    assertEquals(List.of(runOf(0)), worker.stopped());
  }

  /** What changes does not matter here. */
  private static final class IgnoringListener implements WorkerSessionListener {
    @Override
    public void availabilityChanged() {}

    @Override
    public void capacityChanged() {}

    @Override
    public void runChanged(int partition) {}

    @Override
    public void sessionEnded(WorkerSession session) {}
  }
}
