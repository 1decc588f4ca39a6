package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import org.junit.jupiter.api.Test;

class ResourceLedgerTest {
  private static RunKey run(int index) {
    return new RunKey(new TaskKey(WorkflowFixtures.id(1), 0, 0, index), 1);
  }

  private static ResourceLedger.Claim plain(long milliProcessors, long memory) {
    return new ResourceLedger.Claim(new Sizes(milliProcessors, memory, 0), false, Urgency.ORDINARY);
  }

  /**
   * Two entries saw the same free processors and sent start orders at the same time. Only the side
   * process sees both; it must refuse the second and accept it after a release.
   */
  @Test
  void refusesTheSecondOfTwoRacingStarts() {
    ResourceLedger ledger = new ResourceLedger(new Overcommit());
    ledger.capacity(new Sizes(1_000, 1_000, 0));
    ResourceLedger.Claim largeClaim = plain(600, 100);
    assertTrue(ledger.tryBook(run(1), largeClaim));
    assertFalse(ledger.tryBook(run(2), largeClaim));
    ledger.release(run(1));
    assertTrue(ledger.tryBook(run(2), largeClaim));
  }

  @Test
  void aRepeatedStartBooksOnce() {
    ResourceLedger ledger = new ResourceLedger(new Overcommit());
    ledger.capacity(new Sizes(1_000, 1_000, 0));
    assertTrue(ledger.tryBook(run(1), plain(600, 100)));
    assertTrue(ledger.tryBook(run(1), plain(600, 100)));
    assertEquals(new Sizes(400, 900, 0), ledger.free());
    ledger.release(run(1));
    ledger.release(run(1));
    assertEquals(new Sizes(1_000, 1_000, 0), ledger.free());
  }

  @Test
  void booksExistingRunsBeyondTheCapacity() {
    ResourceLedger ledger = new ResourceLedger(new Overcommit());
    ledger.capacity(new Sizes(1_000, 1_000, 0));
    ledger.book(run(1), plain(900, 100));
    ledger.book(run(2), plain(900, 100));
    assertEquals(new Sizes(0, 800, 0), ledger.free());
    ledger.release(run(1));
    assertEquals(new Sizes(100, 900, 0), ledger.free());
  }

  /**
   * Three entries place best-effort tasks on the same empty VM at the same time. Guards against
   * tasks that declare nearly twice its processors, which made all of them late.
   */
  @Test
  void boundsBestEffortBookingsOfRacingOwners() {
    ResourceLedger ledger = new ResourceLedger(new Overcommit());
    ledger.capacity(new Sizes(24_000, 1_000, 0));
    ResourceLedger.Claim bestEffort =
        new ResourceLedger.Claim(new Sizes(2_000, 10, 0), true, Urgency.ORDINARY);
    int booked = 0;
    for (int index = 0; index < 24; index++) {
      booked += ledger.tryBook(run(index), bestEffort) ? 1 : 0;
    }
    assertEquals(15, booked);
    assertEquals(30_000, ledger.bestEffortMilliProcessors());
    assertEquals(new Sizes(24_000, 850, 0), ledger.free());
    ledger.release(run(0));
    assertTrue(ledger.tryBook(run(24), bestEffort));
    assertFalse(ledger.tryBook(run(25), bestEffort));
    assertTrue(
        ledger.tryBook(
            run(25), new ResourceLedger.Claim(bestEffort.sizes(), true, Urgency.STARVED)));
  }
}
