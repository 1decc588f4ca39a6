package io.marigoldsail.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CapacityDemandTest {
  private final CapacityDemand demand = new CapacityDemand();

  @Test
  void noDemandUntilATaskFindsNoCapacity() {
    assertFalse(demand.isPresent(-5));
    assertTrue(demand.recordUnplaced(-5));
    assertTrue(demand.isPresent(-5));
  }

  /** Guards against frames to all VMs at each pass of a burst. */
  @Test
  void demandBeginsOnceInABurst() {
    assertTrue(demand.recordUnplaced(0));
    for (long now = 1; now < 10 * CapacityDemand.HOLD_NANOS; now += CapacityDemand.HOLD_NANOS / 4) {
      assertFalse(demand.recordUnplaced(now));
    }
  }

  @Test
  void demandEndsAfterTheHold() {
    demand.recordUnplaced(7);
    assertTrue(demand.isPresent(6 + CapacityDemand.HOLD_NANOS));
    assertFalse(demand.isPresent(7 + CapacityDemand.HOLD_NANOS));
    assertTrue(demand.recordUnplaced(7 + CapacityDemand.HOLD_NANOS));
  }
}
