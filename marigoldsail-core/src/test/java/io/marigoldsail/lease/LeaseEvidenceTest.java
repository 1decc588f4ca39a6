package io.marigoldsail.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.marigoldsail.lease.LeaseEvidence.Change;
import org.junit.jupiter.api.Test;

class LeaseEvidenceTest {
  private static final long SECOND = 1_000_000_000L;

  private final LeaseEvidence evidence = new LeaseEvidence(42);

  @Test
  void knowsNothingAtFirst() {
    assertFalse(evidence.known());
  }

  /** A confirmation is delayed in a connection for a minute. Guards against a lease that counts from its arrival instead of from the request, and so outlives a revocation. */
  @Test
  void aLateVouchDatesFromItsAsk() {
    assertEquals(Change.NEW_REGISTRATION, evidence.vouched(7, 42, 10 * SECOND, 70 * SECOND));

    assertEquals(15 * SECOND, evidence.deadlineNanos(5_000));
    evidence.vouched(7, 42, 12 * SECOND, 90 * SECOND);
    assertEquals(17 * SECOND, evidence.deadlineNanos(5_000));
  }

  @Test
  void anOlderVouchShortensNothing() {
    evidence.vouched(7, 42, 10 * SECOND, 10 * SECOND);

    assertEquals(Change.NONE, evidence.vouched(7, 42, 9 * SECOND, 11 * SECOND));
    assertEquals(Change.EXTENDED, evidence.vouched(7, 42, 11 * SECOND, 11 * SECOND));
    assertEquals(16 * SECOND, evidence.deadlineNanos(5_000));
  }

  /** Confirmations for an earlier process, and clock readings from the future, are ignored. */
  @Test
  void vouchesForAnotherProcessAreDropped() {
    assertEquals(Change.NONE, evidence.vouched(7, 41, 10 * SECOND, 10 * SECOND));
    assertEquals(Change.NONE, evidence.vouched(7, 42, 11 * SECOND, 10 * SECOND));
    assertFalse(evidence.known());
  }

  @Test
  void anEarlierRegistrationDoesNotComeBack() {
    evidence.vouched(7, 42, 10 * SECOND, 10 * SECOND);
    evidence.vouched(9, 42, 11 * SECOND, 11 * SECOND);

    assertEquals(Change.NONE, evidence.vouched(7, 42, 12 * SECOND, 12 * SECOND));
    assertEquals(9, evidence.registration());
  }
}
