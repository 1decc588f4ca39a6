package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerSessionTest {
  private static final String WORKER = "life-1";
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
          listener);

  private static RunKey run(int index) {
    return new RunKey(new TaskKey(7, 0, 0, index), 1);
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
            .setTask(WorkflowCodec.encode(key))
            .setMilliProcessors(milliProcessors)
            .build(),
        "program");
  }

  /** Has time pass with an owner that is heard all the while. */
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
      session.acknowledgeEnd(WorkflowCodec.decode(end.getTask()));
      time.advance(20);
    }
  }

  /**
   * A worker goes for good while it runs five tasks. Their owner notes the five ends one by one,
   * and from then on the side process asked in vain five times as often as before, for the rest of
   * the day.
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
    int asked = worker.listings() - before;
    assertTrue(9 <= asked && asked <= 11, "asked " + asked + " times in three seconds");
  }

  /**
   * A worker hangs, so that each listing fails only after its whole time. Between two of them the
   * VM looked sound, was given tasks, and held each up for seconds, again and again.
   */
  @Test
  void unresponsiveWorkerStaysUnhealthyUntilItAnswers() {
    session.start();
    advanceWithEvidence(1_000);
    assertFalse(session.isUnhealthy());
    worker.becomeUnresponsive(2_000);
    advanceWithEvidence(4_000);
    for (int i = 0; i < 60; i++) {
      assertTrue(session.isUnhealthy(), "sound at " + time.millis() + " ms");
      advanceWithEvidence(100);
    }
    worker.recover();
    advanceWithEvidence(6_000);
    assertFalse(session.isUnhealthy());
  }

  /** An order that was on its way when the worker fell silent was held up for seconds. */
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
   * A side process was restarted, and the owner of what its worker ran was out of reach. To the
   * other owners the VM looked empty: all that waited was sent there and refused, again and again,
   * though other VMs had room.
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
   * A start was left without an answer, and a listing showed the run before the next try. Later the
   * worker listed it no more, nor an end of it: the owner took it for running for good.
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
   * An answer of the worker could not be taken in, by a fault of ours. The side process never asked
   * again, and went on to report what ran then.
   */
  @Test
  void listingContinuesAfterAnAnswerCannotBeProcessed() {
    session.start();
    advanceWithEvidence(1_000);
    start(0);
    advanceWithEvidence(100);
    listener.throwOnce();
    advanceWithEvidence(3_000);
    assertFalse(listener.throwing, "nothing was thrown");
    int before = worker.listings();
    advanceWithEvidence(3_000);
    assertTrue(worker.listings() > before, "asked no more");
  }

  /**
   * A worker fell silent, and entries that owned nothing on its VM went on to order work there
   * until their turn to be told came. That a VM takes nothing, and that it takes work again, goes
   * to all entries at once, each time once.
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
   * Asking a worker for what it runs threw. It was never asked again: what it ran then counted as
   * at work for the rest of the day, also after the worker was gone.
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
   * The connection to a worker broke in a way that nobody had thought of, and a listing ended with
   * an exception. The worker was never asked again, and its task never found over.
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

  /** Guards against a task that runs again, since its end is beyond what one listing holds. */
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

  /** What changes does not matter here; can be told to throw. */
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
    public void runChanged(int partition) {
      throwIfRequested();
    }

    private void throwIfRequested() {
      if (throwing) {
        throwing = false;
        throw new IllegalStateException("told to throw");
      }
    }

    @Override
    public void sessionEnded(WorkerSession session) {}
  }
}
