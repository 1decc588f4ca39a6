package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import org.junit.jupiter.api.Test;

class ResourceLedgerTest {
  private static RunKey run(int index) {
    return new RunKey(new TaskKey(1, 0, 0, index), 1);
  }

  private static ResourceLedger.Claim plain(long milliProcessors, long memory) {
    return new ResourceLedger.Claim(new Sizes(milliProcessors, memory, 0), false, Urgency.ORDINARY);
  }

  /**
   * Two entries saw the same free processors and ordered at the same moment. Only the side process
   * sees both orders; the second is refused, and told again later it fits.
   */
  @Test
  void refusesTheSecondOfTwoRacingStarts() {
    ResourceLedger room = new ResourceLedger(new Overcommit());
    room.capacity(new Sizes(1_000, 1_000, 0));
    ResourceLedger.Claim most = plain(600, 100);
    assertTrue(room.tryBook(run(1), most));
    assertFalse(room.tryBook(run(2), most));
    room.release(run(1));
    assertTrue(room.tryBook(run(2), most));
  }

  @Test
  void aRepeatedStartBooksOnce() {
    ResourceLedger room = new ResourceLedger(new Overcommit());
    room.capacity(new Sizes(1_000, 1_000, 0));
    assertTrue(room.tryBook(run(1), plain(600, 100)));
    assertTrue(room.tryBook(run(1), plain(600, 100)));
    assertEquals(new Sizes(400, 900, 0), room.free());
    room.release(run(1));
    room.release(run(1));
    assertEquals(new Sizes(1_000, 1_000, 0), room.free());
  }

  @Test
  void booksExistingRunsBeyondTheCapacity() {
    ResourceLedger room = new ResourceLedger(new Overcommit());
    room.capacity(new Sizes(1_000, 1_000, 0));
    room.book(run(1), plain(900, 100));
    room.book(run(2), plain(900, 100));
    assertEquals(new Sizes(0, 800, 0), room.free());
    room.release(run(1));
    assertEquals(new Sizes(100, 900, 0), room.free());
  }

  /**
   * Three entries fill the same empty VM at the same moment. What its tasks declare went to nearly
   * twice its processors, and all of them came late.
   */
  @Test
  void boundsBestEffortBookingsOfRacingOwners() {
    ResourceLedger room = new ResourceLedger(new Overcommit());
    room.capacity(new Sizes(24_000, 1_000, 0));
    ResourceLedger.Claim fills =
        new ResourceLedger.Claim(new Sizes(2_000, 10, 0), true, Urgency.ORDINARY);
    int taken = 0;
    for (int index = 0; index < 24; index++) {
      taken += room.tryBook(run(index), fills) ? 1 : 0;
    }
    assertEquals(15, taken);
    assertEquals(30_000, room.bestEffortMilliProcessors());
    assertEquals(new Sizes(24_000, 850, 0), room.free());
    room.release(run(0));
    assertTrue(room.tryBook(run(24), fills));
    assertFalse(room.tryBook(run(25), fills));
    assertTrue(
        room.tryBook(run(25), new ResourceLedger.Claim(fills.sizes(), true, Urgency.STARVED)));
  }
}
