package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;

class RefusedImagesTest {
  private static final ImmutableMap<String, Double> ROOMS = ImmutableMap.of("a", 1.0, "b", 0.5);
  private static final long BEST_EFFORT_MILLI = 7_000;

  private final RefusedImages refused = new RefusedImages();

  private void report(ImmutableMap<String, Double> rooms, long bestEffortMilli) {
    refused.recordReport(rooms, bestEffortMilli);
  }

  private void refuse() {
    report(ROOMS, BEST_EFFORT_MILLI);
    assertTrue(refused.recordRefusal("heavy", 0));
  }

  @Test
  void onlyTheRefusedImageIsHeldBack() {
    refuse();
    assertTrue(refused.isRefused("heavy", 1));
    assertFalse(refused.isRefused("other", 1));
    assertFalse(refused.recordRefusal("heavy", 2));
  }

  /** Guards against a VM that is never tried again because its reports do not change. */
  @Test
  void refusalEndsAfterAWhile() {
    refuse();
    assertTrue(refused.isRefused("heavy", RefusedImages.RETRY_NANOS - 1));
    assertFalse(refused.isRefused("heavy", RefusedImages.RETRY_NANOS));
  }

  @Test
  void equalOrLessRoomDoesNotEndARefusal() {
    refuse();
    report(ROOMS, BEST_EFFORT_MILLI);
    report(ImmutableMap.of("a", 0.5, "b", 0.5), BEST_EFFORT_MILLI + 1);
    assertTrue(refused.isRefused("heavy", 1));
  }

  @Test
  void moreRoomEndsARefusal() {
    refuse();
    report(ImmutableMap.of("a", 0.5, "b", 0.75), BEST_EFFORT_MILLI);
    assertFalse(refused.isRefused("heavy", 1));
  }

  @Test
  void serviceThatHasGoneEndsARefusal() {
    refuse();
    report(ImmutableMap.of("b", 0.5), BEST_EFFORT_MILLI);
    assertFalse(refused.isRefused("heavy", 1));
  }

  @Test
  void bestEffortTaskThatHasGoneEndsARefusal() {
    refuse();
    report(ROOMS, BEST_EFFORT_MILLI - 1);
    assertFalse(refused.isRefused("heavy", 1));
  }

  /**
   * Guards against a burst in which an owner sends the tasks of a step to VMs that refuse them,
   * each as soon as the last refusal has arrived.
   */
  @Test
  void burstOfRefusedTasksTriesEachVmOnceASecond() {
    int orders = 0;
    report(ROOMS, BEST_EFFORT_MILLI);
    long refusalNanos = 50_000_000L;
    for (long now = 0; now < 10 * RefusedImages.RETRY_NANOS; now += refusalNanos) {
      if (!refused.isRefused("heavy", now)) {
        orders++;
        refused.recordRefusal("heavy", now);
      }
    }
    assertEquals(10, orders);
  }

  @Test
  void imageMustBeNamed() {
    assertThrows(IllegalArgumentException.class, () -> refused.recordRefusal("", 0));
  }
}
