package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VmSpeedTest {
  private static final long SECOND = 1_000_000_000L;

  /** One VM of eight becomes six times slower; declared run times are off by a factor of up to four. */
  @Test
  void aSlowVmStandsOutWithinSecondsThoughEstimatesAreOff() {
    VmSpeed estimator = new VmSpeed();
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      String vm = "vm-" + i % 8;
      double estimateError = Math.exp((random.nextDouble() - 0.5) * 2.7);
      double tookMillis = 900 * (vm.equals("vm-3") ? 6 : 1);
      estimator.sample(vm, 900 * estimateError, tookMillis, i * SECOND / 50);
    }
    long now = 4 * SECOND;
    assertTrue(estimator.slowness("vm-3", now) > 3, "slowness " + estimator.slowness("vm-3", now));
    for (int vm = 0; vm < 8; vm++) {
      if (vm != 3) {
        assertEquals(1, estimator.slowness("vm-" + vm, now), "vm-" + vm);
      }
    }
  }

  @Test
  void oldSamplesFade() {
    VmSpeed estimator = new VmSpeed();
    for (int i = 0; i < 10; i++) {
      estimator.sample("slow", 100, 900, SECOND);
      estimator.sample("other", 100, 100, SECOND);
    }
    assertTrue(estimator.slowness("slow", SECOND) > 5);
    assertEquals(1, estimator.slowness("slow", 20 * SECOND));
  }
}
