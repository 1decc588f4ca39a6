package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.WorkerGateway.StartOrder;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** A worker that starts again under its id, as its side process sees it, on virtual time. */
class WorkerSuccessionTest {
  private static final String FIRST = "i-1@1000";
  private static final String SECOND = "i-1@2000";
  private static final String THIRD = "i-1@3000";
  private static final RunKey RUN = new RunKey(TestIds.task(7, 0, 0, 0), 1);
  private static final long DEPARTURE_MILLIS = 20_000;
  private static final long FAR_DEADLINE = 1_000_000;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private final WorkerRegistration side =
      new WorkerRegistration(
          time.loop(),
          worker,
          1,
          WorkerLeaseTerms.forMaxLease(10_000),
          InterferenceScope.PER_IMAGE,
          new SessionListener(),
          () -> {});

  /** Collects log lines. */
  private static final class CollectingHandler extends Handler {
    private final List<String> lines;

    CollectingHandler(List<String> lines) {
      this.lines = lines;
    }

    @Override
    public void publish(LogRecord line) {
      lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  /** Passes the events of sessions on, as a side process does. */
  private final class SessionListener implements WorkerSessionListener {
    @Override
    public void availabilityChanged() {}

    @Override
    public void capacityChanged() {}

    @Override
    public void runChanged(int partition) {}

    @Override
    public boolean isEvacuated(String zone) {
      return false;
    }

    @Override
    public void workerSucceeded(WorkerSession succeeded, String successor) {
      side.succeeded(succeeded, successor);
    }

    @Override
    public void sessionEnded(WorkerSession ended) {
      side.ended(ended);
    }
  }

  private CompletableFuture<Boolean> heartbeat(WorkerHeartbeat heartbeat) {
    CompletableFuture<Boolean> accepted = new CompletableFuture<>();
    side.heartbeat(heartbeat, accepted);
    return accepted;
  }

  private String currentWorker() {
    return side.session() == null ? "" : side.session().worker();
  }

  /** The session of a deregistered worker ends once nothing can start on it any more. */
  private boolean endsSoon() {
    time.advance(DEPARTURE_MILLIS);
    return side.session() == null;
  }

  private boolean acceptsHeartbeatOf(String incarnation) {
    CompletableFuture<Boolean> accepted = heartbeat(ScriptedWorker.heartbeat(incarnation));
    time.advance(2);
    for (int tries = 0; tries < 50 && !accepted.isDone(); tries++) {
      time.advance(20);
    }
    return accepted.getNow(false);
  }

  private void findFirst() {
    worker.restart(FIRST);
    assertTrue(acceptsHeartbeatOf(FIRST));
  }

  @Test
  void heartbeatOfASuccessorWithALowerSequenceIsInEffect() {
    findFirst();
    worker.restart(SECOND);
    assertTrue(acceptsHeartbeatOf(SECOND));
    assertEquals(SECOND, currentWorker());
  }

  /** The heartbeat arrives after its sender has ended and the successor has been found. */
  @Test
  void lateHeartbeatOfAnEarlierIncarnationIsRefused() {
    findFirst();
    worker.restart(SECOND);
    assertTrue(acceptsHeartbeatOf(SECOND));
    assertFalse(acceptsHeartbeatOf(FIRST));
    assertEquals(SECOND, currentWorker());
    worker.restart(THIRD);
    assertTrue(acceptsHeartbeatOf(THIRD));
    assertFalse(acceptsHeartbeatOf(FIRST));
    assertFalse(acceptsHeartbeatOf(SECOND));
    assertEquals(THIRD, currentWorker());
  }

  /** The listing that the side process asks for anyway shows the restart before any heartbeat. */
  @Test
  void restartSeenByAListingEndsTheSession() {
    findFirst();
    worker.restart(SECOND);
    time.advance(3_000);
    assertEquals("", currentWorker());
    assertTrue(acceptsHeartbeatOf(SECOND));
  }

  /**
   * A start for the earlier incarnation is executed late by its successor. Reported as gone before
   * that run has ended, the owner would order the next attempt beside it.
   */
  @Test
  void successorIsReportedOnceItRunsNothingOfItsPredecessor() {
    findFirst();
    worker.restart(SECOND);
    worker.start(FIRST, new StartOrder(RUN, "", FAR_DEADLINE, "", ""));
    time.advance(2_000);
    assertEquals(FIRST, currentWorker());
    assertEquals(RUN, worker.stopped().get(0));
    worker.removeActiveRun(RUN);
    time.advance(1_000);
    assertEquals("", currentWorker());
    assertTrue(acceptsHeartbeatOf(SECOND));
    assertEquals(SECOND, currentWorker());
  }

  /**
   * The successor executes stops only after the lease of the earlier incarnation has expired.
   * Reported as lapsed, the run would be followed by the next attempt beside the late start.
   */
  @Test
  void runsOfAnEarlierIncarnationDoNotLapseWhileItsSuccessorRunsThem() {
    findFirst();
    WorkerSession session = side.session();
    session.recordEvidence(0, 1, session.workerClockLowerBound());
    session.start(RUN, StartRun.newBuilder().setTask(WorkflowIdCodec.encode(RUN)).build(), "");
    time.advance(10);
    worker.restart(SECOND);
    worker.start(FIRST, new StartOrder(RUN, "", FAR_DEADLINE, "", ""));
    time.advance(DEPARTURE_MILLIS);
    assertEquals(List.of(), List.copyOf(session.ends()));
    worker.removeActiveRun(RUN);
    time.advance(1_000);
    assertEquals("", currentWorker());
  }

  /** Guards against a line for each look at a run that takes long to stop. */
  @Test
  void eachRunOfAnEarlierIncarnationIsLoggedOnce() {
    List<String> lines = new ArrayList<>();
    Handler collector = new CollectingHandler(lines);
    Logger logger = Logger.getLogger(WorkerSuccession.class.getName());
    Level before = logger.getLevel();
    logger.setLevel(Level.INFO);
    logger.addHandler(collector);
    findFirst();
    worker.restart(SECOND);
    worker.start(FIRST, new StartOrder(RUN, "", FAR_DEADLINE, "", ""));
    time.advance(3_000);
    logger.removeHandler(collector);
    logger.setLevel(before);
    assertEquals(
        1, lines.stream().filter(line -> line.contains("event=predecessor-run-found")).count());
  }

  /** The same, seen by the heartbeat of the successor first. */
  @Test
  void heartbeatOfASuccessorWaitsForRunsOfItsPredecessor() {
    findFirst();
    worker.restart(SECOND);
    worker.start(FIRST, new StartOrder(RUN, "", FAR_DEADLINE, "", ""));
    CompletableFuture<Boolean> accepted = heartbeat(ScriptedWorker.heartbeat(SECOND));
    time.advance(300);
    assertFalse(accepted.isDone());
    worker.removeActiveRun(RUN);
    time.advance(300);
    assertTrue(accepted.getNow(false));
    assertEquals(List.of(RUN), worker.stopped().stream().distinct().toList());
  }

  /** A deregistration names the id only; the worker that it was for has ended and been replaced. */
  @Test
  void lateDeregistrationOfAnEarlierIncarnationIsIgnored() {
    findFirst();
    worker.restart(SECOND);
    assertTrue(acceptsHeartbeatOf(SECOND));
    side.deregister("i-1");
    assertFalse(endsSoon());
  }

  @Test
  void deregistrationOfADrainingWorkerIsInEffect() {
    findFirst();
    heartbeat(ScriptedWorker.heartbeat(FIRST).asDraining());
    time.advance(100);
    side.deregister("i-1");
    assertTrue(endsSoon());
  }

  /** The worker deregisters, ends, and starts again under its id. */
  @Test
  void successorOfADeregisteredWorkerIsUsed() {
    findFirst();
    heartbeat(ScriptedWorker.heartbeat(FIRST).asDraining());
    time.advance(100);
    side.deregister("i-1");
    worker.restart(SECOND);
    assertTrue(acceptsHeartbeatOf(SECOND));
    assertFalse(endsSoon());
  }

  /** Guards against a worker that is never looked at again after a call that throws. */
  @Test
  void workerIsFoundAfterACallThatThrows() {
    worker.throwOnListingCall();
    assertFalse(acceptsHeartbeatOf(FIRST));
    worker.recover();
    assertTrue(acceptsHeartbeatOf(FIRST));
  }

  /**
   * Guards against a session that its worker ignores for good, as a late call of an earlier side
   * process has raised the fence: the heartbeats go on, and nothing is ever started there again.
   */
  @Test
  void workerThatAnotherProcessFencedIsTakenOverWithItsNextHeartbeat() {
    findFirst();
    worker.becomeFencedByAnother();
    time.advance(1_000);
    assertTrue(side.session().isUnhealthy());
    assertTrue(acceptsHeartbeatOf(FIRST));
    time.advance(3_000);
    assertFalse(side.session().isUnhealthy());
    assertEquals(FIRST, currentWorker());
  }

  /** The successor does not respond: nothing shows what it runs, so the session goes on. */
  @Test
  void unresponsiveSuccessorDoesNotEndTheSession() {
    findFirst();
    worker.restart(SECOND);
    worker.becomeUnresponsive(1);
    assertFalse(acceptsHeartbeatOf(SECOND));
    assertEquals(FIRST, currentWorker());
    worker.recover();
    assertTrue(acceptsHeartbeatOf(SECOND));
  }
}
