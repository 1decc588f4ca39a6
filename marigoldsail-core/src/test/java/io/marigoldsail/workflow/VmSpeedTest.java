package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VmSpeedTest {
  private static final long SECOND = 1_000_000_000L;

  /**
   * One VM of eight turns six times slower; declared run times are off by up to a factor of four.
   */
  @Test
  void aSlowVmStandsOutWithinSecondsThoughEstimatesAreOff() {
    VmSpeed speed = new VmSpeed();
    Random random = new Random(7);
    for (int i = 0; i < 200; i++) {
      String vm = "vm-" + i % 8;
      double off = Math.exp((random.nextDouble() - 0.5) * 2.7);
      double took = 900 * (vm.equals("vm-3") ? 6 : 1);
      speed.sample(vm, 900 * off, took, i * SECOND / 50);
    }
    long now = 4 * SECOND;
    assertTrue(speed.slowness("vm-3", now) > 3, "slowness " + speed.slowness("vm-3", now));
    for (int vm = 0; vm < 8; vm++) {
      if (vm != 3) {
        assertEquals(1, speed.slowness("vm-" + vm, now), "vm-" + vm);
      }
    }
  }

  @Test
  void oldSamplesFade() {
    VmSpeed speed = new VmSpeed();
    for (int i = 0; i < 10; i++) {
      speed.sample("slow", 100, 900, SECOND);
      speed.sample("other", 100, 100, SECOND);
    }
    assertTrue(speed.slowness("slow", SECOND) > 5);
    assertEquals(1, speed.slowness("slow", 20 * SECOND));
  }
}
