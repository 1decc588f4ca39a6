package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/**
 * Deregistrations of a worker that may still be up, on virtual time. A side process accepts
 * heartbeats of a worker until it considers the worker gone.
 */
class WorkerDepartureTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final String WORKER = "worker-1";
  private static final String NEXT_WORKER = "worker-2";
  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);

  /** Longest time until a deregistration is answered, in milliseconds. */
  private static final long MAX_RESPONSE_MILLIS = 750;

  /**
   * Longest time until a lease has certainly expired that is not extended any more, in
   * milliseconds: the worker's clock may be slow, and a check follows.
   */
  private static final long EXPIRY_MILLIS = TERMS.leaseMillis() * 104 / 100 + 1_000;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private final WorkflowSideProcess side =
      new WorkflowSideProcess(
          time.loop(),
          new ScriptedOwnersStore(1),
          worker,
          "vm-0",
          TERMS,
          InterferenceScope.PER_IMAGE);

  private boolean acceptsHeartbeat(String name) {
    CompletableFuture<Boolean> accepted = side.heartbeat(ScriptedWorker.heartbeat(name));
    time.advance(2);
    return accepted.getNow(false);
  }

  private boolean isGone() {
    return !acceptsHeartbeat(WORKER);
  }

  private void findWorkerWithRun() {
    worker.addActiveRun(RUN);
    assertTrue(acceptsHeartbeat(WORKER));
    time.advance(100);
  }

  /** Guards against two runs: the response is under way, and the worker runs on until it has it. */
  @Test
  void workerIsNotGoneWhileARunIsActive() {
    findWorkerWithRun();
    CompletableFuture<Boolean> response = side.workerDeregistered(WORKER);
    time.advance(MAX_RESPONSE_MILLIS);
    assertFalse(isGone(), "gone with an active run");
    assertEquals(List.of(RUN), worker.stopped());
    assertTrue(response.isDone());
  }

  /** Guards against runs that stay open for ever on a worker that ends without listing them. */
  @Test
  void workerThatDiesAfterTheResponseIsGoneAtTheExpiryOfItsLease() {
    findWorkerWithRun();
    CompletableFuture<Boolean> response = side.workerDeregistered(WORKER);
    time.advance(MAX_RESPONSE_MILLIS);
    assertTrue(response.isDone());
    worker.becomeUnresponsive(1_000);
    time.advance(1_000);
    assertFalse(isGone(), "gone before its lease has expired");
    time.advance(EXPIRY_MILLIS);
    assertTrue(isGone(), "not gone after its lease has expired");
  }

  /** Guards against a planned end that waits for nothing. */
  @Test
  void idleWorkerIsAnsweredAndGoneAtOnce() {
    assertTrue(acceptsHeartbeat(WORKER));
    time.advance(EXPIRY_MILLIS);
    assertTrue(side.workerDeregistered(WORKER).getNow(false));
    assertTrue(isGone());
  }

  /** Guards against two runs: a start of the predecessor may still be executed after a restart. */
  @Test
  void idleWorkerIsNotGoneWhileStartsOfThePredecessorMayArrive() {
    assertTrue(acceptsHeartbeat(WORKER));
    time.advance(100);
    assertTrue(side.workerDeregistered(WORKER).getNow(false));
    assertFalse(isGone(), "gone before the predecessor's starts have expired");
    time.advance(EXPIRY_MILLIS);
    assertTrue(isGone());
  }

  /** Guards against a VM that stays without work until the lease of its former worker expires. */
  @Test
  void nextIncarnationReplacesADeregisteredWorkerAtOnce() {
    findWorkerWithRun();
    CompletableFuture<Boolean> response = side.workerDeregistered(WORKER);
    worker.removeActiveRun(RUN);
    assertTrue(acceptsHeartbeat(NEXT_WORKER));
    assertTrue(response.isDone());
    assertTrue(isGone());
  }

  /** Guards against a repeated request that waits for long, or that starts the wait anew. */
  @Test
  void repeatedDeregistrationIsAnsweredWithTheFirst() {
    findWorkerWithRun();
    CompletableFuture<Boolean> first = side.workerDeregistered(WORKER);
    time.advance(500);
    CompletableFuture<Boolean> second = side.workerDeregistered(WORKER);
    assertFalse(first.isDone() || second.isDone(), "answered with an active run");
    time.advance(MAX_RESPONSE_MILLIS - 500);
    assertTrue(first.isDone() && second.isDone());
    assertTrue(side.workerDeregistered(WORKER).isDone());
  }

  /** Guards against new work for a worker that ends: its heartbeat arrives after the request. */
  @Test
  void runsOfAWorkerThatIsFoundAfterItsDeregistrationAreStopped() {
    assertTrue(side.workerDeregistered(WORKER).getNow(false));
    findWorkerWithRun();
    assertEquals(List.of(RUN), worker.stopped());
  }
}
