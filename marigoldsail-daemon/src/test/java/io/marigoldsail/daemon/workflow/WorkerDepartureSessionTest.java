package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Runs and orders of a worker that deregisters, beside an owner that keeps sending evidence. */
class WorkerDepartureSessionTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final RunKey RUN = run(0);
  private static final long STEP_MILLIS = 50;

  /** Longest time until a deregistration is answered, in milliseconds. */
  private static final long MAX_RESPONSE_MILLIS = 750;

  /** Longest time until owners are told of runs that the worker stops, in milliseconds. */
  private static final long MAX_STOP_MILLIS = 100;

  /** Longest time until owners are told of a start that the worker never executes. */
  private static final long MAX_UNEXECUTED_MILLIS = 2_000;

  /**
   * Longest time until a lease has certainly expired that is not extended any more, in
   * milliseconds: the worker's clock may be slow, and a check follows.
   */
  private static final long EXPIRY_MILLIS = TERMS.leaseMillis() * 104 / 100 + 1_000;

  /** Longest time that the session waits for owners after that, in milliseconds. */
  private static final long END_REPORT_MILLIS = 2_200;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private boolean gone;
  private final WorkerSession session =
      new WorkerSession(
          time.loop(),
          worker,
          ScriptedWorker.heartbeat("worker-1"),
          worker.listing(),
          1,
          TERMS,
          InterferenceScope.PER_IMAGE,
          new EndListener());

  private static RunKey run(int index) {
    return new RunKey(TestIds.task(7, 0, 0, index), 1);
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      session.recordEvidence(0, 1, session.workerClockLowerBound());
      time.advance(STEP_MILLIS);
    }
  }

  /** Advances until no start of a predecessor can arrive any more. */
  private void begin() {
    session.start();
    advance(EXPIRY_MILLIS);
  }

  private void order(RunKey run) {
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(run))
            .setMilliProcessors(1)
            .setDelivery(StartRun.Delivery.FIRST)
            .build();
    session.start(run, start, "program");
  }

  private List<RunOutcome> outcomes() {
    return session.ends().stream().map(end -> RunOutcome.forNumber(end.getOutcome())).toList();
  }

  /** Guards against tasks that wait for the end of the lease though their runs were stopped. */
  @Test
  void stoppedRunsReachTheirOwnersBeforeTheResponse() {
    worker.executeStops();
    begin();
    order(RUN);
    advance(1_000);
    CompletableFuture<Boolean> response = session.deregister();
    advance(MAX_STOP_MILLIS);
    assertEquals(List.of(RunOutcome.STOPPED), outcomes());
    assertFalse(response.isDone(), "answered before the end is acknowledged");
    session.respondToEnd(RUN, EndResponse.ACKNOWLEDGED);
    advance(2 * STEP_MILLIS + 150);
    assertEquals(1, worker.acknowledgedUpTo());
    assertTrue(response.isDone());
    assertTrue(gone);
  }

  /** Guards against ends that are never acknowledged: the worker ends with the response. */
  @Test
  void responseWaitsUntilTheWorkerHasTheAcknowledgement() {
    worker.executeStops();
    begin();
    order(RUN);
    advance(1_000);
    CompletableFuture<Boolean> response = session.deregister();
    advance(MAX_STOP_MILLIS);
    worker.becomeUnresponsive(1);
    session.respondToEnd(RUN, EndResponse.ACKNOWLEDGED);
    advance(200);
    assertFalse(response.isDone(), "answered before the acknowledgement has arrived");
    worker.recover();
    advance(300);
    assertEquals(1, worker.acknowledgedUpTo());
    assertTrue(response.isDone());
  }

  /** Guards against a VM that waits for the lease of a worker that has died without any run. */
  @Test
  void workerThatDiesAfterItsLastEndIsGoneOnceAnswered() {
    worker.executeStops();
    begin();
    order(RUN);
    advance(1_000);
    session.deregister();
    advance(MAX_STOP_MILLIS);
    worker.becomeUnresponsive(1);
    session.respondToEnd(RUN, EndResponse.ACKNOWLEDGED);
    advance(MAX_RESPONSE_MILLIS);
    assertTrue(gone);
  }

  /** Guards against a worker that is held up by an owner that does not respond. */
  @Test
  void responseDoesNotWaitLongForAnUnresponsiveOwner() {
    worker.executeStops();
    begin();
    order(RUN);
    advance(1_000);
    CompletableFuture<Boolean> response = session.deregister();
    advance(MAX_RESPONSE_MILLIS);
    assertTrue(response.isDone());
    assertFalse(gone, "gone before its owner has heard of the end");
    advance(EXPIRY_MILLIS + END_REPORT_MILLIS);
    assertTrue(gone);
  }

  /**
   * Guards against two runs: a start without a response is executed after the deregistration, and
   * the stop does not arrive.
   */
  @Test
  void startUnderWayKeepsItsRunOpenUntilTheLeaseHasExpired() {
    begin();
    worker.leaveStartsUnanswered(false);
    worker.leaveStopsUnanswered();
    order(RUN);
    CompletableFuture<Boolean> response = session.deregister();
    advance(MAX_RESPONSE_MILLIS);
    assertTrue(response.isDone());
    worker.addActiveRun(RUN);
    advance(TERMS.leaseMillis() - 1_000);
    assertFalse(gone, "gone before its lease has expired");
    assertEquals(List.of(), outcomes());
    advance(EXPIRY_MILLIS - TERMS.leaseMillis() + 1_000);
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    session.respondToEnd(RUN, EndResponse.ACKNOWLEDGED);
    advance(200);
    assertTrue(gone);
  }

  /** Guards against a task that waits for the lease though a stop forbids its start. */
  @Test
  void startUnderWayThatIsStoppedDoesNotWaitForTheLease() {
    begin();
    worker.leaveStartsUnanswered(false);
    order(RUN);
    session.deregister();
    advance(MAX_UNEXECUTED_MILLIS);
    assertEquals(List.of(RunOutcome.FORGOTTEN), outcomes());
  }

  /** Guards against runs that stay open on a worker that dies with the response. */
  @Test
  void runsOfAWorkerThatDiesLapseWithItsLease() {
    begin();
    order(RUN);
    advance(1_000);
    session.deregister();
    worker.becomeUnresponsive(3_000);
    advance(EXPIRY_MILLIS);
    assertEquals(List.of(RunOutcome.LAPSED), outcomes());
    advance(END_REPORT_MILLIS);
    assertTrue(gone);
  }

  /** Guards against work for a worker that ends: it would be lost. */
  @Test
  void newStartIsRefusedAtOnce() {
    worker.executeStops();
    begin();
    order(RUN);
    advance(1_000);
    session.deregister();
    order(run(1));
    assertEquals(List.of(RunOutcome.REFUSED), outcomes());
    assertEquals("the worker has deregistered", session.ends().iterator().next().getReason());
  }

  /** Guards against a VM that is offered again by a heartbeat sent before the deregistration. */
  @Test
  void lateHeartbeatDoesNotReopenTheWorker() {
    begin();
    order(RUN);
    advance(1_000);
    session.deregister();
    assertTrue(session.heartbeat().draining());
    session.heartbeat(ScriptedWorker.heartbeat("worker-1"));
    assertTrue(session.heartbeat().draining());
  }

  /** Guards against listings in an endless loop while the departure lasts. */
  @Test
  void listingsAreNotRequestedWithoutPause() {
    begin();
    order(RUN);
    advance(1_000);
    session.deregister();
    int before = worker.listings();
    advance(3_000);
    assertTrue(worker.listings() - before <= 21, worker.listings() - before + " listings");
  }

  /** Records that the worker counts as gone. */
  private final class EndListener implements WorkerSessionListener {
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
    public void sessionEnded(WorkerSession ended) {
      gone = true;
    }
  }
}
