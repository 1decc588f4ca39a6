package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class FillPacerTest {
  private static final long STEP = 500_000_000L;
  private static final long CAPACITY = 16_000;
  private static final FillPacer.Filling BOTH = new FillPacer.Filling(2_000, 2_000, CAPACITY);
  private static final FillPacer.Filling SUSPECTS = new FillPacer.Filling(2_000, 0, CAPACITY);
  private static final FillPacer.Filling NOTHING = new FillPacer.Filling(0, 0, CAPACITY);

  /**
   * A heavy task moves in beside a service, whose tail goes to ten times its target. Its users must
   * not feel it for more than some two seconds, and once it has gone the next ones get their speed.
   */
  @Test
  void aDisturbedServiceIsRelievedWithinTwoSecondsAndSpeedComesBack() {
    FillPacer pacer = new FillPacer();
    long now = 0;
    int readings = 0;
    while (pacer.percent() > 0 && readings < 20) {
      now += STEP;
      readings++;
      pacer.observe(List.of(new FillPacer.Reading(1_250, 125)), BOTH, now);
    }
    assertTrue(readings <= 4, readings + " readings until nothing disturbs");
    while (pacer.percent() < 100 && readings < 30) {
      now += STEP;
      readings++;
      pacer.observe(List.of(new FillPacer.Reading(30, 125)), BOTH, now);
    }
    assertEquals(100, pacer.percent());
  }

  @Test
  void withoutServicesNothingIsSlowed() {
    FillPacer pacer = new FillPacer();
    pacer.observe(List.of(new FillPacer.Reading(130, 125)), BOTH, STEP);
    assertEquals(50, pacer.percent());
    assertEquals(100, pacer.observe(List.of(), BOTH, 2 * STEP));
  }

  @Test
  void readingsOfTheSameHalfSecondCountOnce() {
    FillPacer pacer = new FillPacer();
    pacer.observe(List.of(new FillPacer.Reading(130, 125)), BOTH, STEP);
    assertEquals(
        50, pacer.observe(List.of(new FillPacer.Reading(130, 125)), BOTH, STEP + 1_000_000));
  }

  /**
   * Tails of a service rise with its own load; slowing down what fills elsewhere would help nobody.
   * What comes next begins at the first share, whatever the tails were.
   */
  @Test
  void tailsWithoutAnythingBesideThemSayNothing() {
    FillPacer pacer = new FillPacer();
    long now = 0;
    for (long tail : List.of(500, 500, 500, 20)) {
      now += STEP;
      List<FillPacer.Reading> readings = List.of(new FillPacer.Reading(tail, 125));
      assertEquals(100, pacer.observe(readings, NOTHING, now));
      assertEquals(100, pacer.harmlessPercent());
    }
    FillPacer.Filling twoSuspects = new FillPacer.Filling(4_000, 0, CAPACITY);
    assertEquals(50, pacer.observe(List.of(new FillPacer.Reading(110, 125)), twoSuspects, now));
  }

  @Test
  void whatIsBelievedHarmlessIsSlowedLastAndSpeedsUpFirst() {
    FillPacer pacer = new FillPacer();
    long now = STEP;
    pacer.observe(List.of(new FillPacer.Reading(500, 125)), BOTH, now);
    assertEquals(25, pacer.percent());
    assertEquals(100, pacer.harmlessPercent());
    now += STEP;
    pacer.observe(List.of(new FillPacer.Reading(500, 125)), BOTH, now);
    assertEquals(6, pacer.percent());
    assertEquals(50, pacer.harmlessPercent());
    now += STEP;
    pacer.observe(List.of(new FillPacer.Reading(500, 125)), BOTH, now);
    assertEquals(0, pacer.percent());
    while (pacer.harmlessPercent() < 100) {
      assertEquals(0, pacer.percent());
      now += STEP;
      pacer.observe(List.of(new FillPacer.Reading(30, 125)), BOTH, now);
    }
    pacer.observe(List.of(new FillPacer.Reading(30, 125)), BOTH, now + STEP);
    assertTrue(pacer.percent() > 0);
  }

  /**
   * A service is near its target by its own load for seconds, not over it. Tasks that do not
   * disturb it were stopped all the same, and heavy workflows came late for nothing.
   */
  @Test
  void tailsUnderTheTargetSlowNothingHarmless() {
    FillPacer pacer = new FillPacer();
    for (int reading = 1; reading <= 20; reading++) {
      pacer.observe(List.of(new FillPacer.Reading(120, 125)), BOTH, reading * STEP);
      assertEquals(100, pacer.harmlessPercent());
    }
    assertEquals(0, pacer.percent());
  }

  /**
   * A task beside a service takes it to ten times its target at full speed and to a bearable tail
   * at a third. With a share that jumped between nothing and all, it did a tenth of its work and
   * the service was over its target for a third of the time.
   */
  @Test
  void aSuspectWorksAtTheShareThatItsServiceBears() {
    FillPacer pacer = new FillPacer();
    double worked = 0;
    int over = 0;
    int readings = 100;
    pacer.observe(List.of(new FillPacer.Reading(40, 125)), NOTHING, STEP);
    for (int reading = 2; reading <= readings; reading++) {
      double busy = 0.4 + 1.3 * pacer.percent() / 100;
      long tail = busy >= 0.98 ? 1_250 : Math.round(25 / (1 - busy));
      worked += pacer.percent() / 100.0;
      over += tail > 125 ? 1 : 0;
      pacer.observe(List.of(new FillPacer.Reading(tail, 125)), SUSPECTS, reading * STEP);
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
  void aTailALittleOverItsTargetIsRelievedWithinThreeReadings() {
    FillPacer pacer = new FillPacer();
    long second = 2 * STEP;
    for (int reading = 1; reading <= 3; reading++) {
      pacer.observe(List.of(new FillPacer.Reading(133, 125)), BOTH, reading * second);
    }
    assertEquals(0, pacer.percent());
    assertEquals(0, pacer.harmlessPercent());
  }

  /**
   * By their own load services of a large VM stand at three fifths of their target. Guards against
   * heavy tasks that were slowed down once and then work at a quarter of their speed for good.
   */
  @Test
  void speedComesBackWithinSecondsWhereTailsAreFarBelowTheirTarget() {
    FillPacer pacer = new FillPacer();
    FillPacer.Filling large = new FillPacer.Filling(3_500, 0, 32_000);
    long now = STEP;
    assertEquals(25, pacer.observe(List.of(new FillPacer.Reading(90, 50)), large, now));
    for (int reading = 0; reading < 5; reading++) {
      now += STEP;
      pacer.observe(List.of(new FillPacer.Reading(30, 50)), large, now);
    }
    assertEquals(100, pacer.percent());
  }

  /**
   * A burst of heavy tasks joins one that its service bears. Guards against all of them at full
   * speed until the tail shows it.
   */
  @Test
  void tasksThatJoinShareWhatTheServiceBears() {
    FillPacer pacer = new FillPacer();
    assertEquals(100, pacer.observe(List.of(new FillPacer.Reading(110, 125)), SUSPECTS, STEP));
    FillPacer.Filling burst = new FillPacer.Filling(8_000, 0, CAPACITY);
    assertEquals(25, pacer.observe(List.of(new FillPacer.Reading(110, 125)), burst, 2 * STEP));
  }
}
