package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerSessionTest {
  private static final String WORKER = "worker-1";
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private final ThrowingListener listener = new ThrowingListener();
  private final WorkerSession session =
      new WorkerSession(
          time.loop(),
          worker,
          ScriptedWorker.heartbeat(WORKER),
          worker.listing(),
          1,
          TERMS,
          InterferenceScope.PER_IMAGE,
          listener);

  private static RunKey run(int index) {
    return new RunKey(TestIds.task(7, 0, 0, index), 1);
  }

  private void recordEvidence() {
    session.recordEvidence(0, 1, session.workerClockLowerBound());
  }

  private void start(int index) {
    start(index, 500);
  }

  private void start(int index, int milliProcessors) {
    recordEvidence();
    RunKey key = run(index);
    session.start(
        key,
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(key))
            .setMilliProcessors(milliProcessors)
            .build(),
        "program");
  }

  /** Advances the time while the owner keeps sending evidence. */
  private void advanceWithEvidence(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      recordEvidence();
      time.advance(100);
    }
  }

  private List<RunOutcome> outcomes() {
    return session.ends().stream().map(end -> RunOutcome.forNumber(end.getOutcome())).toList();
  }

  private void acknowledgeAllEnds() {
    for (EndReport end : List.copyOf(session.ends())) {
      session.respondToEnd(WorkflowIdCodec.decode(end.getTask()), EndResponse.ACKNOWLEDGED);
      time.advance(20);
    }
  }

  /**
   * A listing fails, and another incarnation under the same id may answer the next one: its ends
   * have the numbers of ends that were acknowledged, and it would discard them.
   */
  @Test
  void firstListingAfterAFailureAcknowledgesNoEnds() {
    session.start();
    start(0);
    advanceWithEvidence(500);
    worker.endRun(run(0));
    advanceWithEvidence(500);
    acknowledgeAllEnds();
    advanceWithEvidence(1_000);
    assertEquals(1, worker.acknowledgedUpTo());
    worker.becomeUnresponsive(1);
    advanceWithEvidence(1_000);
    worker.recover();
    int listings = worker.listings();
    while (worker.listings() == listings) {
      time.advance(1);
    }
    assertEquals(0, worker.acknowledgedUpTo());
    advanceWithEvidence(2_000);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /**
   * A worker fails permanently while it runs five tasks, and their owner acknowledges the five ends
   * one by one. Each acknowledgement must not start another chain of listing requests, or the
   * unresponsive worker is polled five times as often from then on.
   */
  @Test
  void unresponsiveWorkerIsPolledByOneChainOfListings() {
    session.start();
    for (int index = 0; index < 5; index++) {
      start(index);
    }
    advanceWithEvidence(2_000);
    worker.becomeUnresponsive(1);
    advanceWithEvidence(10_000);
    assertEquals(5, outcomes().size());
    acknowledgeAllEnds();
    int before = worker.listings();
    advanceWithEvidence(3_000);
    int requests = worker.listings() - before;
    assertTrue(9 <= requests && requests <= 11, requests + " listing requests in three seconds");
  }

  /**
   * A worker hangs, so that each listing fails only after its timeout. If the VM counted as healthy
   * between two listings, it would repeatedly get tasks and delay each of them by seconds.
   */
  @Test
  void unresponsiveWorkerStaysUnhealthyUntilItAnswers() {
    session.start();
    advanceWithEvidence(1_000);
    assertFalse(session.isUnhealthy());
    worker.becomeUnresponsive(2_000);
    advanceWithEvidence(4_000);
    for (int i = 0; i < 60; i++) {
      assertTrue(session.isUnhealthy(), "healthy at " + time.millis() + " ms");
      advanceWithEvidence(100);
    }
    worker.recover();
    advanceWithEvidence(6_000);
    assertFalse(session.isUnhealthy());
  }

  /**
   * A start order that is in transit when the worker stops responding must not wait for the worker,
   * which would delay the task by seconds.
   */
  @Test
  void startOnAnUnresponsiveWorkerIsRefusedAtOnce() {
    session.start();
    advanceWithEvidence(1_000);
    worker.becomeUnresponsive(1);
    advanceWithEvidence(2_000);
    start(0);
    assertEquals(List.of(RunOutcome.REFUSED), outcomes());
  }

  /**
   * A side process restarts while the owner of its runs is unreachable. If the VM looked empty to
   * the other owners, they would send it all waiting tasks and be refused, again and again,
   * although other VMs have free capacity.
   */
  @Test
  void vmIsUnhealthyWhileTheSizesOfItsRunsAreUnknown() {
    worker.addActiveRun(run(0));
    session.start();
    advanceWithEvidence(1_000);
    assertTrue(session.isUnhealthy());
    start(0);
    advanceWithEvidence(100);
    assertFalse(session.isUnhealthy());
  }

  /**
   * A start is not answered, and a listing contains the run before the start is retried. If the
   * worker later lists neither the run nor its end, the run must count as ended, or its owner
   * considers it active forever.
   */
  @Test
  void runMissingFromListingsEndsThoughItsStartWasNotAnswered() {
    session.start();
    advanceWithEvidence(700);
    worker.leaveStartsUnanswered(true);
    start(0);
    advanceWithEvidence(2_000);
    assertTrue(session.runs().iterator().next().isListed());
    assertEquals(List.of(), outcomes());
    worker.removeActiveRun(run(0));
    advanceWithEvidence(6_000);
    assertEquals(List.of(RunOutcome.FORGOTTEN), outcomes());
  }

  /**
   * An exception while a listing is processed must not end the polling of the worker. Otherwise the
   * side process reports the same runs forever.
   */
  @Test
  void listingContinuesAfterAnAnswerCannotBeProcessed() {
    session.start();
    advanceWithEvidence(1_000);
    start(0);
    advanceWithEvidence(100);
    listener.throwOnce();
    advanceWithEvidence(3_000);
    assertFalse(listener.throwing, "the listener did not throw");
    int before = worker.listings();
    advanceWithEvidence(3_000);
    assertTrue(worker.listings() > before, "no more listing requests");
  }

  /**
   * When a worker stops or resumes responding, the listener is notified once, so that all entries
   * are reported to at once. Otherwise entries that own no runs on the VM keep placing work there
   * until their next report is due.
   */
  @Test
  void listenerIsNotifiedOncePerAvailabilityChange() {
    session.start();
    advanceWithEvidence(1_000);
    assertEquals(0, listener.availabilityChanges);
    worker.becomeUnresponsive(1);
    advanceWithEvidence(4_000);
    assertEquals(1, listener.availabilityChanges);
    worker.recover();
    advanceWithEvidence(6_000);
    assertEquals(2, listener.availabilityChanges);
  }

  /**
   * A listing call that throws must not end the polling of the worker. Otherwise its runs count as
   * active forever, even after the worker has failed.
   */
  @Test
  void listingContinuesAfterTheCallThrows() {
    session.start();
    advanceWithEvidence(1_000);
    start(0);
    worker.throwOnListingCall();
    advanceWithEvidence(20_000);
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    worker.recover();
    advanceWithEvidence(6_000);
    assertFalse(session.isUnhealthy());
  }

  /**
   * A listing whose future fails with an unexpected exception must not end the polling of the
   * worker. Otherwise its runs never count as ended.
   */
  @Test
  void failedListingFutureCountsAsNoAnswer() {
    session.start();
    advanceWithEvidence(1_000);
    start(0);
    worker.failListingFuture();
    advanceWithEvidence(20_000);
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    worker.recover();
    advanceWithEvidence(6_000);
    assertFalse(session.isUnhealthy());
  }

  /** An end beyond the limit of one listing must not be lost, or its task runs again. */
  @Test
  void endsBeyondTheListingLimitAreKept() {
    int runs = WorkerGateway.MAX_LISTED_ENDS + 2;
    session.start();
    for (int index = 0; index < runs; index++) {
      start(index, 1);
    }
    advanceWithEvidence(1_000);
    for (int index = 0; index < runs; index++) {
      worker.endRun(run(index));
    }
    advanceWithEvidence(3_000);
    assertEquals(Collections.nCopies(WorkerGateway.MAX_LISTED_ENDS, RunOutcome.DONE), outcomes());
    acknowledgeAllEnds();
    advanceWithEvidence(1_000);
    assertEquals(List.of(RunOutcome.DONE, RunOutcome.DONE), outcomes());
  }

  /** Counts availability changes; throws on request in the other callbacks. */
  private static final class ThrowingListener implements WorkerSessionListener {
    private boolean throwing;
    private int availabilityChanges;

    void throwOnce() {
      throwing = true;
    }

    @Override
    public void availabilityChanged() {
      availabilityChanges++;
    }

    @Override
    public void capacityChanged() {
      throwIfRequested();
    }

    @Override
    public boolean isEvacuated(String zone) {
      return false;
    }

    @Override
    public void runChanged(int partition) {
      throwIfRequested();
    }

    private void throwIfRequested() {
      if (throwing) {
        throwing = false;
        throw new IllegalStateException("injected failure");
      }
    }

    @Override
    public void workerSucceeded(WorkerSession session, String successor) {}

    @Override
    public void sessionEnded(WorkerSession session) {}
  }
}
