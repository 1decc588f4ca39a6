package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.StartRun.Delivery;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Starts that reach a restarted side process and that its predecessor may have sent before. */
class PredecessorOrdersTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final RunKey FOUND = run(0);
  private static final RunKey ORDERED = run(1);
  private static final long STEP_MILLIS = 100;

  /** Longest time in which a refusal must reach the owner, so that the task soon runs elsewhere. */
  private static final long MAX_REFUSAL_MILLIS = 1_200;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);

  private static RunKey run(int index) {
    return new RunKey(TestIds.task(7, 0, 0, index), 1);
  }

  private WorkerSession restart() {
    WorkerSession session = restartWithoutEvidence();
    recordEvidence(session);
    return session;
  }

  private WorkerSession restartWithoutEvidence() {
    WorkerSession session =
        new WorkerSession(
            time.loop(),
            worker,
            ScriptedWorker.heartbeat("worker-1"),
            worker.listing(),
            1,
            TERMS,
            InterferenceScope.PER_IMAGE,
            new NoOpSessionListener());
    session.start();
    return session;
  }

  /** Returns a session that refuses starts, since the sizes of the run it found are unknown. */
  private WorkerSession restartBesideRunOfUnknownSize() {
    worker.addActiveRun(FOUND);
    return restart();
  }

  private void recordEvidence(WorkerSession session) {
    session.recordEvidence(0, 1, session.workerClockLowerBound());
  }

  private void advance(WorkerSession session, long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      recordEvidence(session);
      time.advance(STEP_MILLIS);
    }
  }

  private static void order(WorkerSession session, Delivery delivery, int milliProcessors) {
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(ORDERED))
            .setMilliProcessors(milliProcessors)
            .setDelivery(delivery)
            .build();
    session.start(ORDERED, start, "program");
  }

  private static List<RunOutcome> outcomes(WorkerSession session) {
    return session.ends().stream().map(end -> RunOutcome.forNumber(end.getOutcome())).toList();
  }

  /** A refusal that waits for long delays the task, which could run elsewhere at once. */
  @Test
  void refusalIsReportedSoonAfterTheStop() {
    WorkerSession session = restartBesideRunOfUnknownSize();
    order(session, Delivery.REPEATED, 1);
    advance(session, MAX_REFUSAL_MILLIS);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
    assertEquals(List.of(ORDERED), worker.stopped());
  }

  /**
   * An owner that hears of the refusal orders the task elsewhere, while it may still start here.
   */
  @Test
  void refusalIsNotReportedBeforeTheWorkerAnswersTheStop() {
    WorkerSession session = restartBesideRunOfUnknownSize();
    worker.leaveStopsUnanswered();
    order(session, Delivery.REPEATED, 1);
    advance(session, 3_000);
    assertEquals(List.of(), outcomes(session));
    worker.answerStops();
    advance(session, MAX_REFUSAL_MILLIS);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
  }

  /** Guards against listings in an endless loop while a stop is unanswered. */
  @Test
  void listingsAreNotRequestedWithoutPauseUntilTheStopIsAnswered() {
    WorkerSession session = restart();
    worker.leaveStopsUnanswered();
    order(session, Delivery.REPEATED, Integer.MAX_VALUE);
    int before = worker.listings();
    advance(session, 3_000);
    assertTrue(worker.listings() - before <= 30, worker.listings() + " listings");
  }

  /**
   * Guards against a session that hears of no end any more after a refusal, because the worker
   * answers a listing before the call returns.
   */
  @Test
  void endsAreReportedAfterARefusalBesideAWorkerThatAnswersInTheCall() {
    worker.answerListingsInCall();
    worker.addActiveRun(FOUND);
    WorkerSession session = restart();
    worker.leaveStopsUnanswered();
    order(session, Delivery.REPEATED, Integer.MAX_VALUE);
    advance(session, 2_000);
    worker.answerStops();
    advance(session, MAX_REFUSAL_MILLIS);
    worker.endRun(FOUND);
    advance(session, MAX_REFUSAL_MILLIS);
    assertEquals(List.of(RunOutcome.REFUSED, RunOutcome.DONE), outcomes(session));
  }

  /**
   * The predecessor's copy starts before the stop; the run is over only when the worker says so.
   */
  @Test
  void runThatStartedBeforeTheStopIsNotReportedAsRefused() {
    WorkerSession session = restartBesideRunOfUnknownSize();
    order(session, Delivery.REPEATED, 1);
    worker.addActiveRun(ORDERED);
    advance(session, 3_000);
    assertEquals(List.of(), outcomes(session));
    worker.endRun(ORDERED, RunOutcome.STOPPED);
    advance(session, 1_500);
    assertEquals(List.of(RunOutcome.STOPPED), outcomes(session));
  }

  /** It may have run, so that its owner must not count it among the refusals. */
  @Test
  void runThatStartedAndIsNoLongerListedIsNotReportedAsRefused() {
    WorkerSession session = restartBesideRunOfUnknownSize();
    order(session, Delivery.REPEATED, 1);
    worker.addActiveRun(ORDERED);
    advance(session, 2_000);
    worker.removeActiveRun(ORDERED);
    advance(session, 4_000);
    assertEquals(List.of(RunOutcome.FORGOTTEN), outcomes(session));
  }

  /** A run awaiting its refusal must not make the VM refuse all other runs. */
  @Test
  void deferredRefusalDoesNotCountAsRunOfUnknownSize() {
    WorkerSession session = restart();
    worker.leaveStopsUnanswered();
    order(session, Delivery.REPEATED, Integer.MAX_VALUE);
    advance(session, 1_000);
    assertEquals(List.of(ORDERED), session.runs().stream().map(SideRun::key).toList());
    assertFalse(session.isUnhealthy());
  }

  /** The worker of an idle VM may also execute a copy that the predecessor sent. */
  @Test
  void repeatedOrderIsStoppedThoughNothingRuns() {
    WorkerSession session = restart();
    order(session, Delivery.REPEATED, Integer.MAX_VALUE);
    advance(session, MAX_REFUSAL_MILLIS);
    assertEquals(List.of(ORDERED), worker.stopped());
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
  }

  /** An order that was never sent before is refused at once: there is nothing to stop. */
  @Test
  void firstOrderIsRefusedAtOnce() {
    WorkerSession session = restartBesideRunOfUnknownSize();
    order(session, Delivery.FIRST, 1);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
    assertEquals(List.of(), worker.stopped());
  }

  /** The worker refuses the predecessor's copies once their deadline has passed. */
  @Test
  void repeatedOrderIsRefusedAtOnceAfterThePredecessorsDeadline() {
    WorkerSession session = restart();
    advance(session, TERMS.leaseMillis() + 500);
    order(session, Delivery.REPEATED, Integer.MAX_VALUE);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
    assertEquals(List.of(), worker.stopped());
  }

  /** The worker refuses this copy for lack of capacity, and may have room for the earlier one. */
  @Test
  void repeatedOrderThatTheWorkerRefusesIsStopped() {
    WorkerSession session = restart();
    worker.refuseStarts();
    order(session, Delivery.REPEATED, 1);
    advance(session, MAX_REFUSAL_MILLIS);
    assertEquals(List.of(ORDERED), worker.stopped());
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
  }

  /** A first order that the worker refuses has no earlier copy. */
  @Test
  void firstOrderThatTheWorkerRefusesIsNotStopped() {
    WorkerSession session = restart();
    worker.refuseStarts();
    order(session, Delivery.FIRST, 1);
    advance(session, 200);
    assertEquals(List.of(), worker.stopped());
    assertEquals(List.of(RunOutcome.REFUSED), outcomes(session));
  }

  private static List<RunKey> runs(WorkerSession session) {
    return session.runs().stream().map(SideRun::key).toList();
  }

  /**
   * A former owner repeats a start that the predecessor refused to its successor, which then
   * ordered the task elsewhere. The restarted side process has not heard the successor's epoch yet.
   */
  @Test
  void startOfAFormerOwnerIsIgnoredAfterARestart() {
    time.advance(500);
    WorkerSession session = restartWithoutEvidence();
    session.recordEvidence(0, 1, worker.clock() - 200);
    order(session, Delivery.REPEATED, 1);
    assertEquals(List.of(), runs(session));
    assertEquals(List.of(), outcomes(session));
  }

  /** A lost answer and a restart must still end in one run, as soon as the owner proves itself. */
  @Test
  void repeatedStartIsSentOnceItsOwnerHasEvidenceFromAfterTheRestart() {
    WorkerSession session = restartWithoutEvidence();
    session.recordEvidence(0, 1, worker.clock() - 200);
    order(session, Delivery.REPEATED, 1);
    time.advance(100);
    recordEvidence(session);
    order(session, Delivery.REPEATED, 1);
    assertEquals(List.of(ORDERED), runs(session));
    time.advance(1_500);
    assertTrue(session.runs().iterator().next().isListed());
  }

  /** An order that was never sent before cannot be outdated; it does not wait for evidence. */
  @Test
  void firstStartDoesNotWaitForEvidenceFromAfterTheRestart() {
    WorkerSession session = restartWithoutEvidence();
    session.recordEvidence(0, 1, worker.clock() - 200);
    order(session, Delivery.FIRST, 1);
    assertEquals(List.of(ORDERED), runs(session));
  }
}
