package io.marigoldsail.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.marigoldsail.lease.LeaseEvidence.Change;
import org.junit.jupiter.api.Test;

class LeaseEvidenceTest {
  private static final long SECOND = 1_000_000_000L;

  private final LeaseEvidence evidence = new LeaseEvidence(42);

  @Test
  void isUnconfirmedInitially() {
    assertFalse(evidence.isConfirmed());
  }

  /**
   * A vouch is stuck in a connection for a minute and arrives late. The lease counts from the ask
   * it answers, not from its arrival, so it is over by then.
   */
  @Test
  void aLateConfirmationCountsFromItsRequest() {
    assertEquals(Change.NEW_REGISTRATION, evidence.confirm(7, 42, 10 * SECOND, 70 * SECOND));

    assertEquals(15 * SECOND, evidence.deadlineNanos(5_000));
    evidence.confirm(7, 42, 12 * SECOND, 90 * SECOND);
    assertEquals(17 * SECOND, evidence.deadlineNanos(5_000));
  }

  @Test
  void anOlderConfirmationDoesNotShortenTheLease() {
    evidence.confirm(7, 42, 10 * SECOND, 10 * SECOND);

    assertEquals(Change.NONE, evidence.confirm(7, 42, 9 * SECOND, 11 * SECOND));
    assertEquals(Change.EXTENDED, evidence.confirm(7, 42, 11 * SECOND, 11 * SECOND));
    assertEquals(16 * SECOND, evidence.deadlineNanos(5_000));
  }

  /** What an earlier process asked for, and clock readings from the future, prove nothing. */
  @Test
  void ignoresConfirmationsForAnotherProcess() {
    assertEquals(Change.NONE, evidence.confirm(7, 41, 10 * SECOND, 10 * SECOND));
    assertEquals(Change.NONE, evidence.confirm(7, 42, 11 * SECOND, 10 * SECOND));
    assertFalse(evidence.isConfirmed());
  }

  @Test
  void ignoresAnEarlierRegistration() {
    evidence.confirm(7, 42, 10 * SECOND, 10 * SECOND);
    evidence.confirm(9, 42, 11 * SECOND, 11 * SECOND);

    assertEquals(Change.NONE, evidence.confirm(7, 42, 12 * SECOND, 12 * SECOND));
    assertEquals(9, evidence.registration());
  }
}
