package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VmSlowdownEstimatorTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One VM of eight turns six times slower; declared run times are off by up to a factor of four.
   */
  @Test
  void detectsASlowVmDespiteInaccurateEstimates() {
    VmSlowdownEstimator speed = new VmSlowdownEstimator();
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      String vm = "vm-" + i % 8;
      double off = Math.exp((random.nextDouble() - 0.5) * 2.7);
      double took = 900 * (vm.equals("vm-3") ? 6 : 1);
      speed.addSample(vm, 900 * off, took, i * SECOND / 50);
    }
    long now = 4 * SECOND;
    assertTrue(speed.slowdown("vm-3", now) > 3, "slowness " + speed.slowdown("vm-3", now));
    for (int vm = 0; vm < 8; vm++) {
      if (vm != 3) {
        assertEquals(1, speed.slowdown("vm-" + vm, now), "vm-" + vm);
      }
    }
  }

  @Test
  void oldSamplesDecay() {
    VmSlowdownEstimator speed = new VmSlowdownEstimator();
    for (int i = 0; i < 10; i++) {
      speed.addSample("slow", 100, 900, SECOND);
      speed.addSample("other", 100, 100, SECOND);
    }
    assertTrue(speed.slowdown("slow", SECOND) > 5);
    assertEquals(1, speed.slowdown("slow", 20 * SECOND));
  }
}
