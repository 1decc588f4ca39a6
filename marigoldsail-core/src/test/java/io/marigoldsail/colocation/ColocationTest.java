package io.marigoldsail.colocation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.colocation.Colocation.BestEffortReading;
import io.marigoldsail.colocation.Colocation.ServiceReading;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ColocationTest {
  private static final long TARGET = 50;

  private final InterferenceModel model = new InterferenceModel();
  private final Colocation colocation = new Colocation(model);
  private long now;

  private boolean observe(long tail, List<BestEffortReading> bestEffort) {
    now += TimeUnit.MILLISECONDS.toNanos(500);
    return colocation.observe(
        List.of(ServiceReading.of("s#1", "s", tail, TARGET)), bestEffort, now);
  }

  private void settle(long tail) {
    for (int i = 0; i < 10; i++) {
      observe(tail, List.of());
    }
  }

  @Test
  void withoutServicesThereIsRoomForAnyTask() {
    assertTrue(colocation.rooms().fits("heavy", 1));
    assertEquals(100, colocation.percent("heavy"));
  }

  @Test
  void serviceNearItsTargetLeavesRoomForNegligibleWorkOnly() {
    settle(45);
    assertFalse(colocation.rooms().fits("unknown", 0.1));
    assertTrue(colocation.rooms().fits("unknown", 0.01));
  }

  @Test
  void admittedTasksTakeRoomBeforeTheyAreMeasured() {
    settle(20);
    int admitted = 0;
    while (colocation.rooms().fits("unknown", 0.1) && admitted < 100) {
      colocation.recordAdmitted("unknown", 0.1);
      admitted++;
    }
    assertTrue(admitted > 0 && admitted < 10, "admitted: " + admitted);
  }

  /** Guards against users who wait for seconds because a harmful image is taken for a harmless. */
  @Test
  void thirdReadingOverTheTargetStopsAllBestEffortTasks() {
    settle(20);
    List<BestEffortReading> tasks = List.of(new BestEffortReading("light", 0.01, 0.01));
    observe(80, tasks);
    observe(80, tasks);
    observe(80, tasks);
    assertEquals(0, colocation.percent("light"));
    observe(20, tasks);
    assertEquals(100, colocation.percent("light"));
  }

  /** Guards against speeds that are decided again on the same measurements. */
  @Test
  void readingsThatFollowTooSoonAreIgnored() {
    settle(20);
    now -= TimeUnit.MILLISECONDS.toNanos(400);
    assertFalse(observe(80, List.of(new BestEffortReading("heavy", 0.1, 0.1))));
    assertEquals(0, colocation.consecutiveOver());
  }

  /** Guards against tasks that are placed at the trough of a service's load. */
  @Test
  void lowestHeadroomOfTheRecentPastCounts() {
    settle(40);
    double atPeak = colocation.rooms().asMap().get("s");
    observe(13, List.of());
    double atTrough = colocation.rooms().asMap().get("s");
    assertTrue(atTrough < (double) TARGET / 13 - Colocation.MARGIN, "room: " + atTrough);
    assertTrue(atTrough >= atPeak, atTrough + " < " + atPeak);
  }
}
