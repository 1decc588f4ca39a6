package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VmSlowdownEstimatorTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One VM of eight becomes six times slower; declared run times are off by a factor of up to four.
   */
  @Test
  void detectsASlowVmDespiteInaccurateEstimates() {
    VmSlowdownEstimator estimator = new VmSlowdownEstimator();
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      String vm = "vm-" + i % 8;
      double estimateError = Math.exp((random.nextDouble() - 0.5) * 2.7);
      double tookMillis = 900 * (vm.equals("vm-3") ? 6 : 1);
      estimator.addSample(vm, 900 * estimateError, tookMillis, i * SECOND / 50);
    }
    long now = 4 * SECOND;
    assertTrue(estimator.slowdown("vm-3", now) > 3, "slowness " + estimator.slowdown("vm-3", now));
    for (int vm = 0; vm < 8; vm++) {
      if (vm != 3) {
        assertEquals(1, estimator.slowdown("vm-" + vm, now), "vm-" + vm);
      }
    }
  }

  @Test
  void oldSamplesDecay() {
    VmSlowdownEstimator estimator = new VmSlowdownEstimator();
    for (int i = 0; i < 10; i++) {
      estimator.addSample("slow", 100, 900, SECOND);
      estimator.addSample("other", 100, 100, SECOND);
    }
    assertTrue(estimator.slowdown("slow", SECOND) > 5);
    assertEquals(1, estimator.slowdown("slow", 20 * SECOND));
  }
}
