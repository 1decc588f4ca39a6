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
      throw new IllegalStateException("told to throw");
    }
  }

  /**
   * A worker was to be asked for what it runs, and making the question threw. The listing counted
   * as under way for good, and the worker was never asked again.
   */
  @Test
  void retriesAfterTheRequestThrows() {
    listings.scheduleAfter(1);
    time.advance(2_000);
    assertEquals(2, requests);
  }
}
