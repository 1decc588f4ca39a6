package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ListingSchedulerTest {
  private final VirtualLoop time = new VirtualLoop();
  private int requests;
  private final ListingScheduler listings = new ListingScheduler(time.loop(), this::throwOnFirst);

  private void throwOnFirst() {
    requests++;
    if (requests == 1) {
      throw new IllegalStateException("injected failure");
    }
  }

  /**
   * Guards against a listing request that throws before it is sent and then counts as in flight
   * forever, so that the worker is never polled again.
   */
  @Test
  void retriesAfterTheRequestThrows() {
    listings.scheduleAfter(1);
    time.advance(2_000);
    assertEquals(2, requests);
  }
}
