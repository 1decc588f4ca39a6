package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VmTrustTest {
  private static final long SECOND = 1_000_000_000L;

  /** One worker of twelve fails everything that it starts. Guards against offering it all work because it is always idle, so that workflows fail there that any other VM would have completed. */
  @Test
  void aWorkerThatFailsAllIsLeftAloneAndTriedSeldom() {
    VmTrust quarantine = new VmTrust();
    int startsOnBad = 0;
    for (int i = 0; i < 2_000; i++) {
      long now = i * SECOND / 20;
      quarantine.ended("good-" + i % 11, i % 20 == 0, now);
      if (!quarantine.rests("bad", now)) {
        startsOnBad++;
        quarantine.ended("bad", true, now);
      }
    }
    assertTrue(startsOnBad < 20, startsOnBad + " starts within 100 s on a VM that fails all");
  }

  @Test
  void tasksThatFailEverywhereBlameNoVm() {
    VmTrust quarantine = new VmTrust();
    for (int i = 0; i < 400; i++) {
      quarantine.ended("vm-" + i % 4, true, i * SECOND / 10);
    }
    for (int vm = 0; vm < 4; vm++) {
      assertFalse(quarantine.rests("vm-" + vm, 60 * SECOND));
    }
  }

  @Test
  void aSuccessAfterTheRestClearsTheVm() {
    VmTrust quarantine = new VmTrust();
    for (int i = 0; i < 30; i++) {
      quarantine.ended("other", false, 0);
    }
    for (int i = 0; i < VmTrust.ROW; i++) {
      quarantine.ended("vm", true, SECOND);
    }
    assertTrue(quarantine.rests("vm", SECOND + 1));
    assertFalse(quarantine.rests("vm", SECOND + VmTrust.REST_NANOS));
    quarantine.ended("vm", false, 4 * SECOND);
    quarantine.ended("vm", true, 5 * SECOND);
    assertFalse(quarantine.rests("vm", 5 * SECOND + 1));
  }
}
