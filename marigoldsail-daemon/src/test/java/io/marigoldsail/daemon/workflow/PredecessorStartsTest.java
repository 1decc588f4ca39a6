package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.InterferenceScope;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.daemon.workflow.WorkerGateway.Listing;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import io.marigoldsail.daemon.workflow.WorkerGateway.StartOrder;
import io.marigoldsail.protocol.StartRun;
import io.marigoldsail.protocol.StartRun.Delivery;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A restarted side process whose predecessor sent starts that were not answered, on virtual time:
 * the owner of one partition is out of reach, that of the other one is not.
 */
class PredecessorStartsTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final int PARTITIONS = 2;
  private static final int OUT_OF_REACH = 0;
  private static final int REACHABLE = 1;
  private static final RunKey LATE = runOf(OUT_OF_REACH);
  private static final RunKey OTHER = runOf(REACHABLE);
  private static final long STEP_MILLIS = 100;

  /** Interval at which an owner renews its evidence, in milliseconds. */
  private static final long RENEWAL_MILLIS = 800;

  /** Time from the last evidence of the owner out of reach to the restart, in milliseconds. */
  private static final long RESTART_AFTER_MILLIS = 1_000;

  private static final long LONG_AFTER_MILLIS = 25_000;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);

  /** The worker's clock at the last evidence of the owner out of reach. */
  private long lastEvidence;

  @BeforeEach
  void runPredecessor() {
    lastEvidence = worker.clock();
    worker.leaseUntil(lastEvidence + TERMS.leaseMillis());
  }

  private static RunKey runOf(int partition) {
    long workflow =
        LongStream.iterate(1, id -> id + 1)
            .filter(id -> TestIds.id(id).partition(PARTITIONS) == partition)
            .findFirst()
            .getAsLong();
    return new RunKey(TestIds.task(workflow, 0, 0, 0), 1);
  }

  /** Sends a start as the predecessor; it gets no answer and is executed after the delay. */
  private void sendLateStart(long delayMillis) {
    worker.delayStarts(delayMillis);
    worker.start(
        "worker-1", new StartOrder(LATE, "program", lastEvidence + TERMS.leaseMillis(), "", ""));
    worker.answerStarts();
  }

  private WorkerSession restart() {
    time.advance(RESTART_AFTER_MILLIS);
    CompletableFuture<ListingResult> first = worker.takeOver("worker-1");
    time.advance(STEP_MILLIS);
    WorkerSession session =
        new WorkerSession(
            time.loop(),
            worker,
            ScriptedWorker.heartbeat("worker-1"),
            (Listing) first.join(),
            PARTITIONS,
            TERMS,
            InterferenceScope.PER_IMAGE,
            new NoOpSessionListener());
    session.start();
    return session;
  }

  private static void order(WorkerSession session, RunKey run, Delivery delivery) {
    StartRun start =
        StartRun.newBuilder()
            .setTask(WorkflowIdCodec.encode(run))
            .setMilliProcessors(1)
            .setDelivery(delivery)
            .build();
    session.start(run, start, "program");
  }

  private static void recordEvidence(WorkerSession session, int partition) {
    session.recordEvidence(partition, 1, session.workerClockLowerBound());
  }

  /** Advances the time while the reachable owner renews its evidence. */
  private void advance(WorkerSession session, long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      if (passed % RENEWAL_MILLIS == 0) {
        recordEvidence(session, REACHABLE);
      }
      time.advance(STEP_MILLIS);
    }
  }

  /** Advances step by step and checks that the late run has ended when its owner orders another. */
  private void assertOverAtTakeover(WorkerSession session) {
    for (long passed = 0; passed < LONG_AFTER_MILLIS; passed += STEP_MILLIS) {
      advance(session, STEP_MILLIS);
      long sinceEvidence = worker.clock() - lastEvidence;
      assertFalse(
          sinceEvidence > TERMS.takeoverMillis() && worker.isActive(LATE),
          () -> "active " + sinceEvidence + " ms after the last evidence of its owner");
    }
  }

  private WorkerSession restartAndRunOther() {
    WorkerSession session = restart();
    recordEvidence(session, REACHABLE);
    order(session, OTHER, Delivery.FIRST);
    advance(session, STEP_MILLIS);
    assertTrue(worker.isActive(OTHER));
    return session;
  }

  /**
   * Guards against a second restart that postpones the stop of a run without evidence, under a
   * lease that the first successor has extended for other partitions.
   */
  @Test
  void lateStartAfterTwoRestartsIsOverAtTheTakeover() {
    sendLateStart(6_000);
    WorkerSession first = restartAndRunOther();
    advance(first, 3_500);
    first.end("the process was killed", "none");
    WorkerSession second = restart();
    recordEvidence(second, REACHABLE);
    assertOverAtTakeover(second);
  }

  /** Its stop is executed late as well, so that it outlives its owner's takeover. */
  @Test
  void lateStartWithALateStopIsOverAtTheTakeover() {
    sendLateStart(4_000);
    worker.delayStops(6_000);
    assertOverAtTakeover(restartAndRunOther());
  }

  /** The worker stops answering right after it, under a lease extended for another partition. */
  @Test
  void lateStartOnAWorkerThatStopsAnsweringIsOverAtTheTakeover() {
    sendLateStart(6_000);
    WorkerSession session = restartAndRunOther();
    advance(session, 5_000);
    worker.becomeUnresponsive(1_800);
    assertOverAtTakeover(session);
  }

  /** The start is executed just before its own deadline; its stop is executed at once. */
  @Test
  void lateStartJustBeforeItsDeadlineIsOverAtTheTakeover() {
    sendLateStart(TERMS.leaseMillis() - 10);
    worker.endStoppedRuns();
    assertOverAtTakeover(restartAndRunOther());
  }

  /** The process itself must begin a session only once the predecessor's calls are invalid. */
  @Test
  void lateStartIsNotExecutedOnceTheProcessHasAcceptedTheWorker() {
    sendLateStart(4_000);
    WorkflowSideProcess side =
        new WorkflowSideProcess(
            time.loop(), new VirtualStore(time), worker, "vm", TERMS, InterferenceScope.PER_IMAGE);
    CompletableFuture<Boolean> accepted = side.heartbeat(ScriptedWorker.heartbeat("worker-1"));
    time.advance(RESTART_AFTER_MILLIS);
    assertTrue(accepted.join());
    time.advance(4_000);
    assertFalse(worker.isActive(LATE));
  }

  /**
   * The lease that the predecessor may at most have granted must not be granted: a found run, whose
   * owner's evidence is older than that, would outlive its owner's takeover.
   */
  @Test
  void startOfAnotherPartitionDoesNotExtendTheLeaseBeyondAllEvidence() {
    worker.addActiveRun(LATE);
    time.advance(3_000);
    WorkerSession session = restart();
    session.recordEvidence(OUT_OF_REACH, 1, lastEvidence);
    order(session, LATE, Delivery.REPEATED);
    recordEvidence(session, REACHABLE);
    order(session, OTHER, Delivery.FIRST);
    time.advance(STEP_MILLIS);
    assertTrue(
        worker.deadline() <= lastEvidence + TERMS.boundMillis(),
        () -> "deadline " + (worker.deadline() - lastEvidence) + " ms after the evidence");
  }

  /** An owner out of reach must not cost the runs of all others on the VM. */
  @Test
  void ownerOutOfReachWithoutRunsHereCostsNoOtherRun() {
    worker.addActiveRun(OTHER);
    WorkerSession session = restart();
    recordEvidence(session, REACHABLE);
    order(session, OTHER, Delivery.REPEATED);
    for (long passed = 0; passed < LONG_AFTER_MILLIS; passed += STEP_MILLIS) {
      advance(session, STEP_MILLIS);
      assertTrue(worker.isActive(OTHER), "lapsed after " + passed + " ms");
    }
    assertEquals(List.of(), worker.stopped());
  }

  /** A restart of the side process alone, with all owners in reach, must cost no run. */
  @Test
  void restartBesideReachableOwnersKeepsAllRuns() {
    worker.addActiveRun(LATE);
    worker.addActiveRun(OTHER);
    WorkerSession session = restart();
    advance(session, RENEWAL_MILLIS);
    for (long passed = 0; passed < LONG_AFTER_MILLIS; passed += RENEWAL_MILLIS) {
      recordEvidence(session, OUT_OF_REACH);
      order(session, LATE, Delivery.REPEATED);
      order(session, OTHER, Delivery.REPEATED);
      advance(session, RENEWAL_MILLIS);
      assertTrue(worker.isActive(LATE) && worker.isActive(OTHER), "lapsed at " + passed + " ms");
    }
    assertEquals(List.of(), worker.stopped());
  }

  /** An owner that is back within three seconds of the restart must lose no run found there. */
  @Test
  void ownerThatIsBackWithinThreeSecondsLosesNoRun() {
    worker.addActiveRun(LATE);
    worker.addActiveRun(OTHER);
    WorkerSession session = restart();
    advance(session, 2_900);
    recordEvidence(session, OUT_OF_REACH);
    order(session, LATE, Delivery.REPEATED);
    order(session, OTHER, Delivery.REPEATED);
    advance(session, 3_000);
    assertEquals(List.of(), worker.stopped());
    assertTrue(worker.isActive(LATE) && worker.isActive(OTHER));
  }
}
