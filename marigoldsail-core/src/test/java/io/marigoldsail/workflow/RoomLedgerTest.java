package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import org.junit.jupiter.api.Test;

class RoomLedgerTest {
  private static RunKey run(int index) {
    return new RunKey(new TaskKey(1, 0, 0, index), 1);
  }

  /**
   * Two entries saw the same free processors and ordered at the same moment. Only the side process
   * sees both orders; the second is refused, and told again later it fits.
   */
  @Test
  void theSecondOfTwoRacingOrdersIsRefused() {
    RoomLedger room = new RoomLedger();
    room.capacity(new Sizes(1_000, 1_000, 0));
    Sizes most = new Sizes(600, 100, 0);
    assertTrue(room.tryBook(run(1), most));
    assertFalse(room.tryBook(run(2), most));
    room.release(run(1));
    assertTrue(room.tryBook(run(2), most));
  }

  @Test
  void aRepeatedOrderBooksOnce() {
    RoomLedger room = new RoomLedger();
    room.capacity(new Sizes(1_000, 1_000, 0));
    assertTrue(room.tryBook(run(1), new Sizes(600, 100, 0)));
    assertTrue(room.tryBook(run(1), new Sizes(600, 100, 0)));
    assertEquals(new Sizes(400, 900, 0), room.free());
    room.release(run(1));
    room.release(run(1));
    assertEquals(new Sizes(1_000, 1_000, 0), room.free());
  }

  @Test
  void whatIsThereAlreadyIsBookedEvenBeyondTheCapacity() {
    RoomLedger room = new RoomLedger();
    room.capacity(new Sizes(1_000, 1_000, 0));
    room.book(run(1), new Sizes(900, 100, 0));
    room.book(run(2), new Sizes(900, 100, 0));
    assertEquals(new Sizes(0, 800, 0), room.free());
    room.release(run(1));
    assertEquals(new Sizes(100, 900, 0), room.free());
  }
}
