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
  private static final BestEffortThrottler.BestEffortLoad SUSPECTS =
      new BestEffortThrottler.BestEffortLoad(2_000, 0, CAPACITY);
  private static final BestEffortThrottler.BestEffortLoad NOTHING =
      new BestEffortThrottler.BestEffortLoad(0, 0, CAPACITY);

  /**
   * A heavy task moves in beside a service, whose tail goes to ten times its target. Its users must
   * not feel it for more than some two seconds, and once it has gone the next ones get their speed.
   */
  @Test
  void throttlesToZeroWithinTwoSecondsAndRecovers() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    long now = 0;
    int readings = 0;
    while (pacer.interferingPercent() > 0 && readings < 20) {
      now += STEP;
      readings++;
      pacer.observe(List.of(new BestEffortThrottler.TailReading(1_250, 125)), BOTH, now);
    }
    assertTrue(readings <= 4, readings + " readings until nothing disturbs");
    while (pacer.interferingPercent() < 100 && readings < 30) {
      now += STEP;
      readings++;
      pacer.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now);
    }
    assertEquals(100, pacer.interferingPercent());
  }

  @Test
  void withoutServiceTasksNothingIsThrottled() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    pacer.observe(List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP);
    assertEquals(50, pacer.interferingPercent());
    assertEquals(100, pacer.observe(List.of(), BOTH, 2 * STEP));
  }

  @Test
  void readingsWithinOnePeriodCountOnce() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    pacer.observe(List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP);
    assertEquals(
        50,
        pacer.observe(
            List.of(new BestEffortThrottler.TailReading(130, 125)), BOTH, STEP + 1_000_000));
  }

  /**
   * Tails of a service rise with its own load; slowing down what fills elsewhere would help nobody.
   * What comes next begins at the first share, whatever the tails were.
   */
  @Test
  void ignoresTailsWithoutBestEffortTasks() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    long now = 0;
    for (long tail : List.of(500, 500, 500, 20)) {
      now += STEP;
      List<BestEffortThrottler.TailReading> readings =
          List.of(new BestEffortThrottler.TailReading(tail, 125));
      assertEquals(100, pacer.observe(readings, NOTHING, now));
      assertEquals(100, pacer.benignPercent());
    }
    BestEffortThrottler.BestEffortLoad twoSuspects =
        new BestEffortThrottler.BestEffortLoad(4_000, 0, CAPACITY);
    assertEquals(
        50,
        pacer.observe(List.of(new BestEffortThrottler.TailReading(110, 125)), twoSuspects, now));
  }

  @Test
  void benignTasksAreThrottledLastAndRestoredFirst() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    long now = STEP;
    pacer.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(25, pacer.interferingPercent());
    assertEquals(100, pacer.benignPercent());
    now += STEP;
    pacer.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(6, pacer.interferingPercent());
    assertEquals(50, pacer.benignPercent());
    now += STEP;
    pacer.observe(List.of(new BestEffortThrottler.TailReading(500, 125)), BOTH, now);
    assertEquals(0, pacer.interferingPercent());
    while (pacer.benignPercent() < 100) {
      assertEquals(0, pacer.interferingPercent());
      now += STEP;
      pacer.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now);
    }
    pacer.observe(List.of(new BestEffortThrottler.TailReading(30, 125)), BOTH, now + STEP);
    assertTrue(pacer.interferingPercent() > 0);
  }

  /**
   * A service is near its target by its own load for seconds, not over it. Tasks that do not
   * disturb it were stopped all the same, and heavy workflows came late for nothing.
   */
  @Test
  void tailsBelowTheTargetDoNotThrottleBenignTasks() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    for (int reading = 1; reading <= 20; reading++) {
      pacer.observe(List.of(new BestEffortThrottler.TailReading(120, 125)), BOTH, reading * STEP);
      assertEquals(100, pacer.benignPercent());
    }
    assertEquals(0, pacer.interferingPercent());
  }

  /**
   * A task beside a service takes it to ten times its target at full speed and to a bearable tail
   * at a third. With a share that jumped between nothing and all, it did a tenth of its work and
   * the service was over its target for a third of the time.
   */
  @Test
  void convergesToTheShareThatTheServiceTolerates() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    double worked = 0;
    int over = 0;
    int readings = 100;
    pacer.observe(List.of(new BestEffortThrottler.TailReading(40, 125)), NOTHING, STEP);
    for (int reading = 2; reading <= readings; reading++) {
      double busy = 0.4 + 1.3 * pacer.interferingPercent() / 100;
      long tail = busy >= 0.98 ? 1_250 : Math.round(25 / (1 - busy));
      worked += pacer.interferingPercent() / 100.0;
      over += tail > 125 ? 1 : 0;
      pacer.observe(
          List.of(new BestEffortThrottler.TailReading(tail, 125)), SUSPECTS, reading * STEP);
    }
    assertTrue(worked / readings > 0.2, "worked " + worked);
    assertTrue(over <= 2, "over its target " + over + " times");
  }

  /**
   * Users of a service felt what fills for four seconds: the tail was a little over its target,
   * readings came a second apart, and the share went down by halves, those believed harmless last.
   * By the third reading nothing may be left that could disturb.
   */
  @Test
  void threeReadingsOverTheTargetStopAllBestEffortTasks() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    long second = 2 * STEP;
    for (int reading = 1; reading <= 3; reading++) {
      pacer.observe(List.of(new BestEffortThrottler.TailReading(133, 125)), BOTH, reading * second);
    }
    assertEquals(0, pacer.interferingPercent());
    assertEquals(0, pacer.benignPercent());
  }

  /**
   * By their own load services of a large VM stand at three fifths of their target. Guards against
   * heavy tasks that were slowed down once and then work at a quarter of their speed for good.
   */
  @Test
  void recoversWithinSecondsWhenTailsAreFarBelowTheTarget() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    BestEffortThrottler.BestEffortLoad large =
        new BestEffortThrottler.BestEffortLoad(3_500, 0, 32_000);
    long now = STEP;
    assertEquals(
        25, pacer.observe(List.of(new BestEffortThrottler.TailReading(90, 50)), large, now));
    for (int reading = 0; reading < 5; reading++) {
      now += STEP;
      pacer.observe(List.of(new BestEffortThrottler.TailReading(30, 50)), large, now);
    }
    assertEquals(100, pacer.interferingPercent());
  }

  /**
   * A burst of heavy tasks joins one that its service bears. Guards against all of them at full
   * speed until the tail shows it.
   */
  @Test
  void joiningTasksShareTheBudget() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    assertEquals(
        100, pacer.observe(List.of(new BestEffortThrottler.TailReading(110, 125)), SUSPECTS, STEP));
    BestEffortThrottler.BestEffortLoad burst =
        new BestEffortThrottler.BestEffortLoad(8_000, 0, CAPACITY);
    assertEquals(
        25, pacer.observe(List.of(new BestEffortThrottler.TailReading(110, 125)), burst, 2 * STEP));
  }
}
