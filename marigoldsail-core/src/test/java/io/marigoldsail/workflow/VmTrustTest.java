package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class VmTrustTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One worker of twelve fails all that it starts. It is always idle, so it is offered everything,
   * and workflows fail there that any other VM would have finished.
   */
  @Test
  void aWorkerThatFailsAllIsLeftAloneAndTriedSeldom() {
    VmTrust trust = new VmTrust();
    int startsOnBad = 0;
    for (int turn = 0; turn < 2_000; turn++) {
      long now = turn * SECOND / 20;
      trust.ended("good-" + turn % 11, turn % 20 == 0, now);
      if (!trust.rests("bad", now)) {
        startsOnBad++;
        trust.ended("bad", true, now);
      }
    }
    assertTrue(startsOnBad < 20, startsOnBad + " starts within 100 s on a VM that fails all");
  }

  @Test
  void tasksThatFailEverywhereBlameNoVm() {
    VmTrust trust = new VmTrust();
    for (int turn = 0; turn < 400; turn++) {
      trust.ended("vm-" + turn % 4, true, turn * SECOND / 10);
    }
    for (int vm = 0; vm < 4; vm++) {
      assertFalse(trust.rests("vm-" + vm, 60 * SECOND));
    }
  }

  @Test
  void aSuccessAfterTheRestClearsTheVm() {
    VmTrust trust = new VmTrust();
    for (int i = 0; i < 30; i++) {
      trust.ended("other", false, 0);
    }
    for (int i = 0; i < VmTrust.ROW; i++) {
      trust.ended("vm", true, SECOND);
    }
    assertTrue(trust.rests("vm", SECOND + 1));
    assertFalse(trust.rests("vm", SECOND + VmTrust.REST_NANOS));
    trust.ended("vm", false, 4 * SECOND);
    trust.ended("vm", true, 5 * SECOND);
    assertFalse(trust.rests("vm", 5 * SECOND + 1));
  }
}
