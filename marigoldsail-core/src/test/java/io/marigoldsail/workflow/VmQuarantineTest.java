package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VmQuarantineTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One worker of twelve fails everything that it starts. Guards against offering it all work
   * because it is always idle, so that workflows fail there that any other VM would have completed.
   */
  @Test
  void aWorkerThatFailsEveryRunIsRetriedRarely() {
    VmQuarantine quarantine = new VmQuarantine();
    int startsOnBad = 0;
    for (int i = 0; i < 2_000; i++) {
      long now = i * SECOND / 20;
      quarantine.recordEnd("good-" + i % 11, i % 20 == 0, now);
      if (!quarantine.isQuarantined("bad", now)) {
        startsOnBad++;
        quarantine.recordEnd("bad", true, now);
      }
    }
    assertTrue(startsOnBad < 20, startsOnBad + " starts within 100 s on a VM that fails all");
  }

  @Test
  void fleetWideFailuresQuarantineNoVm() {
    VmQuarantine quarantine = new VmQuarantine();
    for (int i = 0; i < 400; i++) {
      quarantine.recordEnd("vm-" + i % 4, true, i * SECOND / 10);
    }
    for (int vm = 0; vm < 4; vm++) {
      assertFalse(quarantine.isQuarantined("vm-" + vm, 60 * SECOND));
    }
  }

  @Test
  void aSuccessAfterQuarantineResetsTheVm() {
    VmQuarantine quarantine = new VmQuarantine();
    for (int i = 0; i < 30; i++) {
      quarantine.recordEnd("other", false, 0);
    }
    for (int i = 0; i < VmQuarantine.FAILURE_STREAK; i++) {
      quarantine.recordEnd("vm", true, SECOND);
    }
    assertTrue(quarantine.isQuarantined("vm", SECOND + 1));
    assertFalse(quarantine.isQuarantined("vm", SECOND + VmQuarantine.INITIAL_QUARANTINE_NANOS));
    quarantine.recordEnd("vm", false, 4 * SECOND);
    quarantine.recordEnd("vm", true, 5 * SECOND);
    assertFalse(quarantine.isQuarantined("vm", 5 * SECOND + 1));
  }
}
