package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests a session whose worker runs tasks of two owners, on virtual time. */
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
            ScriptedWorker.heartbeat("worker-1"),
            worker.listing(),
            PARTITIONS,
            TERMS,
            InterferenceScope.PER_IMAGE,
            new IgnoringListener());
    session.start();
    return session;
  }

  private static RunKey runOf(int partition) {
    long workflow =
        LongStream.iterate(1, id -> id + 1)
            .filter(id -> TestIds.id(id).partition(PARTITIONS) == partition)
            .findFirst()
            .getAsLong();
    return new RunKey(TestIds.task(workflow, 0, 0, 0), 1);
  }

  private static void recordEvidence(WorkerSession session, int partition) {
    session.recordEvidence(partition, 1, session.workerClockLowerBound());
  }

  private static void start(WorkerSession session, RunKey run) {
    session.start(
        run,
        StartRun.newBuilder().setTask(WorkflowIdCodec.encode(run)).setMilliProcessors(1).build(),
        "program");
  }

  /**
   * An owner that cannot reach the VM may order the task elsewhere after the takeover time. The end
   * of the first attempt must not be acknowledged after that, or the task runs twice.
   */
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
    for (long passed = 0; passed < TERMS.takeoverMillis() + 1_000; passed += STEP_MILLIS) {
      recordEvidence(session, 1);
      time.advance(STEP_MILLIS);
    }
    recordEvidence(session, 0);
    session.respondToEnd(runOf(0), EndResponse.ACKNOWLEDGED);
    time.advance(1_000);
    assertTrue(
        worker.isExtendedAfterExpiry() || worker.acknowledgedUpTo() == 0,
        "acknowledged up to " + worker.acknowledgedUpTo());
  }

  /**
   * A start went unanswered before the side process was suspended. Its owner, or a later one, may
   * have ordered another attempt meanwhile; its new evidence must not let the start be sent again.
   */
  @Test
  void startIsNotSentAgainOnceItsOwnerMayHaveOrderedAnotherAttempt() {
    WorkerSession session = session();
    recordEvidence(session, 0);
    worker.leaveStartsUnanswered(false);
    start(session, runOf(0));
    time.advance(50);
    session.recordEvidence(0, 2, session.workerClockLowerBound() + TERMS.takeoverMillis());
    worker.leaveStartsUnanswered(true);
    time.advance(2_000);
    assertEquals(List.of(), worker.listing().running());
    assertEquals(List.of(runOf(0)), worker.stopped());
  }

  /** Guards against starts that are given up because of one lost response. */
  @Test
  void unansweredStartIsSentAgainWhileItsOwnerWaits() {
    WorkerSession session = session();
    recordEvidence(session, 0);
    worker.leaveStartsUnanswered(false);
    start(session, runOf(0));
    time.advance(50);
    recordEvidence(session, 0);
    worker.leaveStartsUnanswered(true);
    time.advance(500);
    assertEquals(1, worker.listing().running().size());
    assertEquals(List.of(), worker.stopped());
  }

  /**
   * A refused run must also be stopped on the worker: a start order sent before the restart of the
   * side process may be executed late, and the task would run in two places.
   */
  @Test
  void aRunThatIsRefusedAfterARestartIsForbiddenToTheWorker() {
    worker.addActiveRun(runOf(1));
    WorkerSession session = session();
    recordEvidence(session, 0);
    start(session, runOf(0));
    time.advance(300);
    assertEquals(List.of(runOf(0)), worker.stopped());
  }

  /** Ignores all changes. */
  private static final class IgnoringListener implements WorkerSessionListener {
    @Override
    public void availabilityChanged() {}

    @Override
    public void capacityChanged() {}

    @Override
    public boolean isEvacuated(String zone) {
      return false;
    }

    @Override
    public void runChanged(int partition) {}

    @Override
    public void workerSucceeded(WorkerSession session, String successor) {}

    @Override
    public void sessionEnded(WorkerSession session) {}
  }
}
