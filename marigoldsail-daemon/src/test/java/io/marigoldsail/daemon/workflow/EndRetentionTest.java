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
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Ends that a worker must keep, on virtual time; partition 1 keeps the lease of the worker going.
 */
class EndRetentionTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final int PARTITIONS = 2;
  private static final long STEP_MILLIS = 100;

  private final VirtualLoop time = new VirtualLoop();
  private final ScriptedWorker worker = new ScriptedWorker(time);
  private final NoOpSessionListener listener = new NoOpSessionListener();
  private final WorkerSession session =
      new WorkerSession(
          time.loop(),
          worker,
          ScriptedWorker.heartbeat("worker-1"),
          worker.listing(),
          PARTITIONS,
          TERMS,
          InterferenceScope.PER_IMAGE,
          listener);

  private static RunKey run(int partition, int index) {
    long workflow =
        LongStream.iterate(1, id -> id + 1)
            .filter(id -> TestIds.id(id).partition(PARTITIONS) == partition)
            .findFirst()
            .getAsLong();
    return new RunKey(TestIds.task(workflow, 0, 0, index), 1);
  }

  private void recordEvidence(int partition) {
    session.recordEvidence(partition, 1, session.workerClockLowerBound());
  }

  private void advance(long millis, int... partitions) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      for (int partition : partitions) {
        recordEvidence(partition);
      }
      time.advance(STEP_MILLIS);
    }
  }

  private void start(RunKey run) {
    StartRun order =
        StartRun.newBuilder().setTask(WorkflowIdCodec.encode(run)).setMilliProcessors(1).build();
    session.start(run, order, "program");
  }

  private List<RunOutcome> outcomes() {
    return session.ends().stream().map(end -> RunOutcome.forNumber(end.getOutcome())).toList();
  }

  @BeforeEach
  void startRunsOfBothPartitions() {
    session.start();
    recordEvidence(0);
    recordEvidence(1);
    start(run(0, 0));
    start(run(1, 0));
    advance(500, 0, 1);
  }

  private void interruptPartition0() {
    advance(TERMS.takeoverMillis() + 1_000, 1);
    recordEvidence(0);
  }

  private void endDuringInterruption(RunOutcome outcome) {
    worker.endRun(run(0, 0), outcome);
    interruptPartition0();
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(1_000, 0, 1);
  }

  /** A failure acknowledged after another attempt was ordered exceeds the permitted failures. */
  @Test
  void failureIsWithheldAfterAnInterruption() {
    endDuringInterruption(RunOutcome.FAILED);
    assertEquals(0, worker.acknowledgedUpTo());
  }

  /**
   * A side process that was suspended does not count the time without evidence. Evidence that is
   * newer than its own clock shows that another attempt may have been ordered meanwhile.
   */
  @Test
  void failureIsWithheldAfterAnInterruptionDuringASuspensionOfTheSideProcess() {
    worker.endRun(run(0, 0), RunOutcome.FAILED);
    advance(2_000, 0, 1);
    assertEquals(List.of(RunOutcome.FAILED), outcomes());
    long afterTakeover = session.workerClockLowerBound() + TERMS.takeoverMillis();
    session.recordEvidence(0, 1, afterTakeover);
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(1_000, 1);
    assertEquals(0, worker.acknowledgedUpTo());
  }

  /** A lapsed or stopped run limits no later attempt; its end must not fill the listings. */
  @Test
  void endThatLimitsNoAttemptIsAcknowledgedAfterAnInterruption() {
    endDuringInterruption(RunOutcome.STOPPED);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /** A slow owner that is back before its takeover time has ordered nothing else. */
  @Test
  void endIsAcknowledgedIfEvidenceReturnsWithinTheLease() {
    worker.endRun(run(0, 0));
    advance(TERMS.leaseMillis() - 500, 1);
    recordEvidence(0);
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(1_000, 0, 1);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /** A run that is not known to have ended keeps the lease from outliving its evidence. */
  @Test
  void endOfRunThatWasNotStoppedIsAcknowledgedAfterTheLeaseHasExpired() {
    worker.leaveStopsUnanswered();
    interruptPartition0();
    worker.endRun(run(0, 0));
    advance(1_500, 0, 1);
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(1_500, 0, 1);
    assertEquals(1, worker.acknowledgedUpTo());
    assertTrue(worker.isExtendedAfterExpiry());
  }

  /**
   * A partition without runs anywhere has old evidence, which is renewed with its next order. That
   * interruption is older than the run; withholding its end would keep all ends of the VM.
   */
  @Test
  void endOfRunOrderedAfterAnIdleTimeIsAcknowledged() {
    worker.endRun(run(0, 0), RunOutcome.STOPPED);
    advance(1_500, 0, 1);
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(TERMS.leaseMillis() + 2_000, 1);
    recordEvidence(0);
    start(run(0, 1));
    advance(500, 0, 1);
    worker.endRun(run(0, 1));
    advance(1_500, 0, 1);
    session.respondToEnd(run(0, 1), EndResponse.ACKNOWLEDGED);
    advance(1_500, 0, 1);
    assertEquals(2, worker.acknowledgedUpTo());
  }

  /** An owner that tells superseded ends apart has ordered nothing else after a completion. */
  @Test
  void settledCompletionIsDroppedAfterAnInterruption() {
    worker.endRun(run(0, 0));
    interruptPartition0();
    session.respondToEnd(run(0, 0), EndResponse.SETTLED);
    advance(1_000, 0, 1);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /** Its record may lack a failure of a run that a former owner considered lost. */
  @Test
  void settledFailureIsWithheldAfterAnInterruption() {
    worker.endRun(run(0, 0), RunOutcome.FAILED);
    interruptPartition0();
    session.respondToEnd(run(0, 0), EndResponse.SETTLED);
    advance(1_000, 0, 1);
    assertEquals(0, worker.acknowledgedUpTo());
  }

  /** An acknowledgement itself may arrive after the interruption, without newer evidence before. */
  @Test
  void acknowledgementDuringAnInterruptionIsWithheld() {
    worker.endRun(run(0, 0));
    advance(TERMS.leaseMillis() + 500, 1);
    session.respondToEnd(run(0, 0), EndResponse.ACKNOWLEDGED);
    advance(1_000, 0, 1);
    assertEquals(0, worker.acknowledgedUpTo());
  }

  /**
   * A restarted side process does not know of an earlier interruption; the owner, which ordered
   * another attempt, does.
   */
  @Test
  void endThatItsOwnerCallsSupersededIsWithheld() {
    worker.endRun(run(0, 0));
    advance(1_500, 0, 1);
    session.respondToEnd(run(0, 0), EndResponse.SUPERSEDED);
    advance(1_500, 0, 1);
    assertEquals(0, worker.acknowledgedUpTo());
    assertEquals(List.of(), outcomes());
  }

  /** A superseded end that limits no attempt must not fill the listings. */
  @Test
  void supersededEndThatLimitsNoAttemptIsDropped() {
    worker.endRun(run(0, 0), RunOutcome.LAPSED);
    advance(1_500, 0, 1);
    session.respondToEnd(run(0, 0), EndResponse.SUPERSEDED);
    advance(1_500, 0, 1);
    assertEquals(1, worker.acknowledgedUpTo());
  }

  /** A run ordered after the interruption has one owner; its end is not withheld. */
  @Test
  void endOfLaterRunReachesItsOwnerBesideAWithheldEnd() {
    endDuringInterruption(RunOutcome.DONE);
    recordEvidence(1);
    start(run(1, 1));
    advance(500, 0, 1);
    worker.endRun(run(1, 1));
    advance(500, 0, 1);
    assertEquals(List.of(RunOutcome.DONE), outcomes());
    session.respondToEnd(run(1, 1), EndResponse.ACKNOWLEDGED);
    advance(500, 0, 1);
    assertEquals(List.of(), outcomes());
    assertFalse(session.isUnhealthy());
  }

  /** Listings that include a withheld end return at once; they must not become a busy loop. */
  @Test
  void withheldEndDoesNotMakeListingsABusyLoop() {
    endDuringInterruption(RunOutcome.DONE);
    int before = worker.listings();
    advance(3_000, 0, 1);
    int listings = worker.listings() - before;
    assertTrue(listings <= 20, listings + " listings in three seconds");
  }

  /** Otherwise a worker would keep the end, and all later ones, as long as it lives. */
  @Test
  void withheldEndIsReleasedOnceTheLeaseHasExpired() {
    endDuringInterruption(RunOutcome.DONE);
    worker.endRun(run(1, 0));
    advance(1_500, 0, 1);
    session.respondToEnd(run(1, 0), EndResponse.ACKNOWLEDGED);
    advance(TERMS.leaseMillis() + 2_000, 0, 1);
    assertEquals(2, worker.acknowledgedUpTo());
  }

  /**
   * Ends beyond the limit of a listing would never be seen, so that their tasks counted as active
   * forever. Before that the lease expires, and no work is lost on a worker about to end its runs.
   */
  @Test
  void leaseExpiresBeforeKeptEndsFillTheListings() {
    endDuringInterruption(RunOutcome.DONE);
    for (int index = 1; index <= EndRetention.MAX_KEPT_ENDS; index++) {
      start(run(1, index));
    }
    advance(500, 0, 1);
    for (int index = 1; index <= EndRetention.MAX_KEPT_ENDS; index++) {
      worker.endRun(run(1, index));
    }
    advance(500, 0, 1);
    assertTrue(session.isUnhealthy());
    start(run(1, EndRetention.MAX_KEPT_ENDS + 1));
    assertTrue(outcomes().contains(RunOutcome.REFUSED));
    List.copyOf(session.ends())
        .forEach(
            end ->
                session.respondToEnd(
                    WorkflowIdCodec.decode(end.getTask()), EndResponse.ACKNOWLEDGED));
    advance(TERMS.leaseMillis() + 2_000, 0, 1);
    assertEquals(EndRetention.MAX_KEPT_ENDS + 1, worker.acknowledgedUpTo());
    assertFalse(session.isUnhealthy());
    start(run(1, EndRetention.MAX_KEPT_ENDS + 2));
    advance(500, 0, 1);
    assertEquals(List.of(), outcomes());
  }

  /** After an outage of all owners every lease has expired; nothing is to be kept then. */
  @Test
  void endIsDroppedAtOnceIfTheLeaseHasExpiredSince() {
    WorkerLease lease = new WorkerLease(time.loop(), TERMS, 0);
    UnacknowledgedEnds ends = new UnacknowledgedEnds();
    EndRetention retention = new EndRetention("worker-1", lease, ends);
    ends.recordSequence(1);
    ends.add(run(0, 0), RunOutcome.DONE, "", 1, "", lease.mark(0));
    time.advance(TERMS.leaseMillis() * 2);
    retention.supersede(run(0, 0));
    assertEquals(0, ends.keptCount());
    assertEquals(1, ends.acknowledgedUpTo());
  }
}
