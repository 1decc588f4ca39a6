package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class LeaseLedgerTest {
  private static final WorkerLeaseTerms TERMS = WorkerLeaseTerms.forMaxLease(10_000);

  @Property(tries = 200)
  void takeoverExceedsTheLongestRun(@ForAll @LongRange(min = 1_000, max = 120_000) long longest) {
    WorkerLeaseTerms terms = WorkerLeaseTerms.forMaxLease(longest);
    assertTrue(terms.boundMillis() <= longest);
    // The worker's clock is 2% slow: so much real time passes until it shows the bound.
    assertTrue(terms.takeoverMillis() > terms.boundMillis() / 0.98);
  }

  @Test
  void deadlineFollowsTheOldestEvidence() {
    LeaseLedger ledger = new LeaseLedger(TERMS);
    ledger.observe(1, 1, 5_000);
    ledger.observe(2, 1, 3_000);
    assertEquals(OptionalLong.of(3_000 + TERMS.leaseMillis()), ledger.deadline(Set.of(1, 2)));
    assertEquals(OptionalLong.empty(), ledger.deadline(Set.of(1, 2, 3)));
    assertEquals(OptionalLong.empty(), ledger.deadline(Set.of()));
  }

  /**
   * A former owner that is cut off from the store still reaches a VM. A new owner has set a higher
   * epoch, so what the former one sends must neither prolong leases nor start anything.
   */
  @Test
  void ignoresEvidenceOfALowerEpoch() {
    LeaseLedger ledger = new LeaseLedger(TERMS);
    assertTrue(ledger.observe(1, 7, 1_000));
    assertFalse(ledger.observe(1, 6, 9_000));
    assertEquals(OptionalLong.of(1_000 + TERMS.leaseMillis()), ledger.deadline(Set.of(1)));
  }

  /**
   * Deadlines never shorten and hold for everything on a worker. A run that starts under a deadline
   * that other partitions moved far ahead would outlive what its own owner waits for, and run
   * beside its successor.
   */
  @Test
  void refusesStartsUnderADeadlineBeyondTheTakeover() {
    LeaseLedger ledger = new LeaseLedger(TERMS);
    ledger.observe(1, 1, 1_000);
    long bound = 1_000 + TERMS.boundMillis();
    assertTrue(ledger.mayStart(1, bound, 1_500));
    assertFalse(ledger.mayStart(1, bound + 1, 1_500));
    assertFalse(ledger.mayStart(2, bound, 1_500));
  }

  @Test
  void stopsRunsOfASilentOwnerBeforeTheyLimitTheOthers() {
    LeaseLedger ledger = new LeaseLedger(TERMS);
    ledger.observe(1, 1, 1_000);
    ledger.observe(2, 1, 6_000);
    long late = 1_000 + TERMS.leaseMillis() - TERMS.stopAheadMillis();
    assertEquals(List.of(), ledger.overdue(Set.of(1, 2), late - 1));
    assertEquals(List.of(1), ledger.overdue(Set.of(1, 2), late));
    assertFalse(ledger.mayStart(1, 1_000 + TERMS.leaseMillis(), late));
  }

  /**
   * Workers grant short leases. Evidence of a calm owner is renewed and passed on within two
   * seconds; runs were stopped once it was 1.1 s old, so nothing longer ever came to its end.
   */
  @Test
  void shortLeasesTolerateEvidenceTwoSecondsOld() {
    LeaseLedger ledger = new LeaseLedger(WorkerLeaseTerms.forMaxLease(4_000));
    ledger.observe(1, 1, 10_000);
    assertEquals(List.of(), ledger.overdue(Set.of(1), 11_900));
    assertEquals(List.of(1), ledger.overdue(Set.of(1), 12_000));
  }
}
