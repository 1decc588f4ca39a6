package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.WorkerGateway.Refusal;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.StartRun.Delivery;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs that a session reports as over while a copy of their start is still under way: once they are
 * reported, their owner orders the next attempt, so that no copy may start.
 */
class LateCopiesTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final RunKey FIRST = new RunKey(TestIds.task(7, 0, 0, 0), 1);
  private static final RunKey SECOND = new RunKey(FIRST.task(), 2);
  private static final long STEP_MILLIS = 100;

  /** How long a copy of a start is under way, in milliseconds; within its deadline. */
  private static final long COPY_MILLIS = 5_000;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private final WorkerSession session =
      new WorkerSession(
          time.loop(),
          worker,
          ScriptedWorker.heartbeat("worker-1"),
          worker.listing(),
          1,
          TERMS,
          InterferenceScope.PER_IMAGE,
          new NoOpSessionListener());

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      session.recordEvidence(0, 1, session.workerClockLowerBound());
      time.advance(STEP_MILLIS);
    }
  }

  private void start(RunKey run) {
    StartRun order =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(run))
            .setMilliProcessors(1)
            .setDelivery(Delivery.FIRST)
            .build();
    session.start(run, order, "program");
  }

  /** Sends a start whose first copy is under way for long; later copies are executed at once. */
  private void startWithLateCopy() {
    session.start();
    advance(1_000);
    worker.delayStarts(COPY_MILLIS);
    start(FIRST);
    worker.answerStarts();
  }

  private List<RunOutcome> outcomes() {
    return session.ends().stream().map(WorkflowCodec::outcome).toList();
  }

  private void acknowledgeAllEnds() {
    for (EndReport end : List.copyOf(session.ends())) {
      session.respondToEnd(WorkflowIdCodec.decode(end.getTask()), EndResponse.ACKNOWLEDGED);
    }
  }

  private void assertNeverActive(RunKey run, long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      advance(STEP_MILLIS);
      assertFalse(worker.isActive(run), run + " is active after " + passed + " ms");
    }
  }

  /** The next attempt runs on the same worker, which accepts a lower attempt beside it. */
  @Test
  void copyOfARefusedStartDoesNotStartBesideTheNextAttempt() {
    startWithLateCopy();
    worker.refuseStarts();
    advance(2_500);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes());
    acknowledgeAllEnds();
    worker.acceptStarts();
    advance(1_000);
    start(SECOND);
    assertNeverActive(FIRST, COPY_MILLIS);
    assertTrue(worker.isActive(SECOND));
  }

  /** Guards against a start that is repeated as if only capacity had been missing. */
  @Test
  void startRejectedAfterACopyWithoutAnswerIsReportedAsRejected() {
    startWithLateCopy();
    worker.refuseStarts(Refusal.MALFORMED);
    advance(2_500);
    assertEquals(List.of(RunOutcome.REJECTED), outcomes());
    worker.acceptStarts();
    assertNeverActive(FIRST, COPY_MILLIS);
  }

  /** A refusal must wait until the worker has answered the stop of the copy under way. */
  @Test
  void startWithACopyUnderWayIsNotRefusedBeforeItsStopIsAnswered() {
    startWithLateCopy();
    worker.refuseStarts();
    worker.leaveStopsUnanswered();
    advance(4_000);
    assertEquals(List.of(), outcomes());
  }

  /** The end is listed and acknowledged, so that the session knows nothing of the run any more. */
  @Test
  void copyOfAnEndedRunDoesNotStart() {
    startWithLateCopy();
    advance(1_000);
    assertTrue(worker.isActive(FIRST));
    worker.endRun(FIRST);
    advance(1_200);
    acknowledgeAllEnds();
    assertNeverActive(FIRST, COPY_MILLIS);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /** A run that the worker no longer lists was confirmed there, so that the worker knows it. */
  @Test
  void copyOfAForgottenRunDoesNotStart() {
    startWithLateCopy();
    advance(500);
    worker.removeActiveRun(FIRST);
    advance(4_000);
    assertEquals(List.of(RunOutcome.FORGOTTEN), outcomes());
    acknowledgeAllEnds();
    assertNeverActive(FIRST, COPY_MILLIS);
  }

  /** Listings cannot show a run whose start and stop may both be executed later. */
  @Test
  void runWithoutAnAnsweredCallIsNotForgotten() {
    session.start();
    advance(1_000);
    worker.leaveStartsUnanswered(false);
    worker.leaveStopsUnanswered();
    start(FIRST);
    advance(10_000);
    assertEquals(List.of(), outcomes());
  }

  /** Listings requested before the start was answered do not contain the run. */
  @Test
  void listingsRequestedBeforeTheStartDoNotCountAsMissed() {
    worker.listRunsAsOfTheRequest();
    session.start();
    advance(1_000);
    start(FIRST);
    advance(5_000);
    assertEquals(List.of(), outcomes());
    assertTrue(worker.isActive(FIRST));
  }

  /** A copy that is executed after the lease has expired carries a deadline that has passed. */
  @Test
  void copyOfALapsedRunDoesNotStart() {
    session.start();
    advance(1_000);
    worker.delayStarts(2 * TERMS.leaseMillis());
    start(FIRST);
    worker.answerStarts();
    worker.becomeUnresponsive(100);
    advance(TERMS.leaseMillis() + 1_500);
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    acknowledgeAllEnds();
    worker.recover();
    assertNeverActive(FIRST, 2 * TERMS.leaseMillis());
  }

  /** A worker's clock may be slow by 2%; its runs outlive the lease by as much. */
  @Test
  void runOnAWorkerWithASlowClockIsNotReportedAsLapsedBeforeItEnds() {
    worker.runClockSlow(2);
    session.start();
    advance(1_000);
    start(FIRST);
    advance(1_000);
    worker.becomeUnresponsive(100);
    while (outcomes().isEmpty()) {
      assertTrue(time.millis() < 3 * TERMS.leaseMillis(), "never reported");
      advance(STEP_MILLIS);
    }
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    assertFalse(worker.isActive(FIRST));
  }
}
