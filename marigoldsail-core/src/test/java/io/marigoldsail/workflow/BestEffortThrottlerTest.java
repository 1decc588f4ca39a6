package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class BestEffortThrottlerTest {
  private static final long STEP = 500_000_000L;
  private static final long CAPACITY = 16_000;
  private static final BestEffortThrottler.BestEffortLoad BOTH =
      new BestEffortThrottler.BestEffortLoad(2_000, 2_000, CAPACITY);
  private static final BestEffortThrottler.BestEffortLoad INTERFERING =
      new BestEffortThrottler.BestEffortLoad(2_000, 0, CAPACITY);
  private static final BestEffortThrottler.BestEffortLoad NONE =
      new BestEffortThrottler.BestEffortLoad(0, 0, CAPACITY);

  /**
   * A heavy task is co-located with a service, whose tail rises to ten times its target. Its users
   * must notice it for no more than about two seconds, and later tasks must get their full speed.
   */
  @Test
  void throttlesToZeroWithinTwoSecondsAndRecovers() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    long now = 0;
    int readings = 0;
    while (throttler.interferingPercent() > 0 && readings < 20) {
      now += STEP;
      readings++;
      throttler.observe(List.of(new BestEffortThrottler.TailReading(1_250, 125)), BOTH, now);
    }
    assertTrue(readings <= 4, readings + " readings until all best-effort tasks were stopped");
    while (throttler.interferingPercent() < 100 && readings < 30) {
      now += STEP;
      readings++;
      throttler.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now);
    }
    assertEquals(100, throttler.interferingPercent());
  }

  @Test
  void withoutServiceTasksNothingIsThrottled() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    throttler.observe(List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP);
    assertEquals(50, throttler.interferingPercent());
    assertEquals(100, throttler.observe(List.of(), BOTH, 2 * STEP));
  }

  @Test
  void readingsWithinOnePeriodCountOnce() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    throttler.observe(List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP);
    assertEquals(
        50,
        throttler.observe(
            List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP + 1_000_000));
  }

  /**
   * The tail of a service rises with its own load. Guards against throttling best-effort tasks that
   * start later: they begin at the initial budget, whatever the tails were.
   */
  @Test
  void ignoresTailsWithoutBestEffortTasks() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    long now = 0;
    for (long tail : List.of(500, 500, 500, 20)) {
      now += STEP;
      List<BestEffortThrottler.TailReading> readings =
          List.of(new BestEffortThrottler.TailReading(tail, 125));
      assertEquals(100, throttler.observe(readings, NONE, now));
      assertEquals(100, throttler.benignPercent());
    }
    BestEffortThrottler.BestEffortLoad twoInterfering =
        new BestEffortThrottler.BestEffortLoad(4_000, 0, CAPACITY);
    assertEquals(
        50,
        throttler.observe(
            List.of(new BestEffortThrottler.TailReading(110, 125)), twoInterfering, now));
  }

  @Test
  void benignTasksAreThrottledLastAndRestoredFirst() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    long now = STEP;
    throttler.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(25, throttler.interferingPercent());
    assertEquals(100, throttler.benignPercent());
    now += STEP;
    throttler.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(6, throttler.interferingPercent());
    assertEquals(50, throttler.benignPercent());
    now += STEP;
    throttler.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(0, throttler.interferingPercent());
    while (throttler.benignPercent() < 100) {
      assertEquals(0, throttler.interferingPercent());
      now += STEP;
      throttler.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now);
    }
    throttler.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now + STEP);
    assertTrue(throttler.interferingPercent() > 0);
  }

  /**
   * The load of a service alone keeps it near its target for seconds, but not over it. Guards
   * against stopping benign tasks then, which makes heavy workflows late in vain.
   */
  @Test
  void tailsBelowTheTargetDoNotThrottleBenignTasks() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    for (int reading = 1; reading <= 20; reading++) {
      throttler.observe(
          List.of(new BestEffortThrottler.TailReading(120, 125)), BOTH, reading * STEP);
      assertEquals(100, throttler.benignPercent());
    }
    assertEquals(0, throttler.interferingPercent());
  }

  /**
   * A task raises the tail of a service to ten times its target at full speed and to a tolerable
   * tail at a third of it. Guards against a share that jumps between 0 and 100: the task did a
   * tenth of its work, and the service was over its target for a third of the time.
   */
  @Test
  void convergesToTheShareThatTheServiceTolerates() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    double workDone = 0;
    int overTarget = 0;
    int readings = 100;
    throttler.observe(List.of(new BestEffortThrottler.TailReading(40, 125)), NONE, STEP);
    for (int reading = 2; reading <= readings; reading++) {
      double busy = 0.4 + 1.3 * throttler.interferingPercent() / 100;
      long tail = busy >= 0.98 ? 1_250 : Math.round(25 / (1 - busy));
      workDone += throttler.interferingPercent() / 100.0;
      overTarget += tail > 125 ? 1 : 0;
      throttler.observe(
          List.of(new BestEffortThrottler.TailReading(tail, 125)), INTERFERING, reading * STEP);
    }
    assertTrue(workDone / readings > 0.2, "share of work done: " + workDone);
    assertTrue(overTarget <= 2, "over the target in " + overTarget + " readings");
  }

  /**
   * The tail is a little over its target and readings are a second apart. Guards against halving
   * the share each time, benign tasks last, which let users notice the interference for four
   * seconds. After the third reading nothing that could interfere may run.
   */
  @Test
  void threeReadingsOverTheTargetStopAllBestEffortTasks() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    long second = 2 * STEP;
    for (int reading = 1; reading <= 3; reading++) {
      throttler.observe(
          List.of(new BestEffortThrottler.TailReading(133, 125)), BOTH, reading * second);
    }
    assertEquals(0, throttler.interferingPercent());
    assertEquals(0, throttler.benignPercent());
  }

  /**
   * The load of services of a large VM alone takes them to three fifths of their target. Guards
   * against heavy tasks that are throttled once and then stay at a quarter of their speed.
   */
  @Test
  void recoversWithinSecondsWhenTailsAreFarBelowTheTarget() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    BestEffortThrottler.BestEffortLoad large =
        new BestEffortThrottler.BestEffortLoad(3_500, 0, 32_000);
    long now = STEP;
    assertEquals(
        25, throttler.observe(List.of(new BestEffortThrottler.TailReading(90, 50)), large, now));
    for (int reading = 0; reading < 5; reading++) {
      now += STEP;
      throttler.observe(List.of(new BestEffortThrottler.TailReading(30, 50)), large, now);
    }
    assertEquals(100, throttler.interferingPercent());
  }

  /**
   * A burst of heavy tasks joins one that its service tolerates. Guards against running all of them
   * at full speed until the tail shows it.
   */
  @Test
  void joiningTasksShareTheBudget() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    assertEquals(
        100,
        throttler.observe(
            List.of(new BestEffortThrottler.TailReading(110, 125)), INTERFERING, STEP));
    BestEffortThrottler.BestEffortLoad burst =
        new BestEffortThrottler.BestEffortLoad(8_000, 0, CAPACITY);
    assertEquals(
        25,
        throttler.observe(List.of(new BestEffortThrottler.TailReading(110, 125)), burst, 2 * STEP));
  }
}
