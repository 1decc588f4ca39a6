package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkerLeaseTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);
  private static final long FIRST_READING = 50_000;
  private static final int PARTITION = 3;

  private final VirtualLoop time = new VirtualLoop();
  private final WorkerLease lease = new WorkerLease(time.loop(), TERMS, FIRST_READING);

  /**
   * This process stands still for longer than the takeover time, and then reads a listing from
   * before. With its clock set back, it would miss that the owner may have ordered another attempt.
   */
  @Test
  void interruptionIsSeenThoughAnOldResponseIsReadAfterIt() {
    lease.recordEvidence(PARTITION, 1, FIRST_READING);
    WorkerLease.Mark ordered = lease.mark(PARTITION);
    time.advance(TERMS.takeoverMillis() + 500);
    lease.recordClock(FIRST_READING + 100);
    lease.recordEvidence(PARTITION, 1, FIRST_READING + TERMS.takeoverMillis() + 500);
    assertTrue(lease.mayHaveTakenOver(PARTITION, ordered));
  }

  /** A response that a newer one overtook must not make an expired lease count as running. */
  @Test
  void clockIsNotSetBackByAnOvertakenResponse() {
    lease.recordClock(FIRST_READING + 5_000);
    lease.recordClock(FIRST_READING + 4_000);
    assertEquals(FIRST_READING + 5_000, lease.clockLowerBound());
  }

  /** The worker may hold less than the predecessor may have sent, so it is sent the difference. */
  @Test
  void deadlineBelowThePredecessorsIsSentAndNoneBeyondTheEvidence() {
    long evidence = FIRST_READING - 2_000;
    lease.recordEvidence(PARTITION, 1, evidence);
    assertEquals(OptionalLong.of(evidence + TERMS.leaseMillis()), lease.extend(Set.of(PARTITION)));
    assertEquals(evidence + TERMS.leaseMillis(), lease.sentDeadline());
    assertEquals(OptionalLong.empty(), lease.extend(Set.of(PARTITION)));
  }

  /** Its expiry is judged by what the predecessor may have sent, which may be later. */
  @Test
  void leaseIsNotExpiredBeforeThePredecessorsDeadline() {
    long evidence = FIRST_READING - 2_000;
    lease.recordEvidence(PARTITION, 1, evidence);
    lease.extend(Set.of(PARTITION));
    lease.recordClock(FIRST_READING + TERMS.leaseMillis());
    assertEquals(false, lease.isExpired());
    lease.recordClock(FIRST_READING + TERMS.leaseMillis() + 1);
    assertTrue(lease.isExpired());
  }
}
