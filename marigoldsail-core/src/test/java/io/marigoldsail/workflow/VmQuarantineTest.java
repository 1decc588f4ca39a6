package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VmQuarantineTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One worker of twelve fails all that it starts. It is always idle, so it is offered everything,
   * and workflows fail there that any other VM would have finished.
   */
  @Test
  void aWorkerThatFailsEveryRunIsRetriedRarely() {
    VmQuarantine trust = new VmQuarantine();
    int startsOnBad = 0;
    for (int turn = 0; turn < 2_000; turn++) {
      long now = turn * SECOND / 20;
      trust.recordEnd("good-" + turn % 11, turn % 20 == 0, now);
      if (!trust.isQuarantined("bad", now)) {
        startsOnBad++;
        trust.recordEnd("bad", true, now);
      }
    }
    assertTrue(startsOnBad < 20, startsOnBad + " starts within 100 s on a VM that fails all");
  }

  @Test
  void fleetWideFailuresQuarantineNoVm() {
    VmQuarantine trust = new VmQuarantine();
    for (int turn = 0; turn < 400; turn++) {
      trust.recordEnd("vm-" + turn % 4, true, turn * SECOND / 10);
    }
    for (int vm = 0; vm < 4; vm++) {
      assertFalse(trust.isQuarantined("vm-" + vm, 60 * SECOND));
    }
  }

  @Test
  void aSuccessAfterQuarantineResetsTheVm() {
    VmQuarantine trust = new VmQuarantine();
    for (int i = 0; i < 30; i++) {
      trust.recordEnd("other", false, 0);
    }
    for (int i = 0; i < VmQuarantine.FAILURE_STREAK; i++) {
      trust.recordEnd("vm", true, SECOND);
    }
    assertTrue(trust.isQuarantined("vm", SECOND + 1));
    assertFalse(trust.isQuarantined("vm", SECOND + VmQuarantine.INITIAL_QUARANTINE_NANOS));
    trust.recordEnd("vm", false, 4 * SECOND);
    trust.recordEnd("vm", true, 5 * SECOND);
    assertFalse(trust.isQuarantined("vm", 5 * SECOND + 1));
  }
}
