package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.BestEffortThrottler;
import java.util.List;

/**
 * The pacing of an earlier version: one speed for all suspects, whatever they declare.
 *
 * <p>Kept to compare with. Confined to one thread.
 */
final class SpeedPacing implements Pacing {
  private static final int FIRST_PERCENT = 60;
  private static final int LOW_PERCENT = 72;
  private static final int HIGH_PERCENT = 92;
  private static final int OVER_PERCENT = 100;
  private static final int SEVERE_PERCENT = 150;
  private static final int LEAST = 4;
  private static final int MOST_RISE = 16;
  private static final int HARMLESS_RISE = 25;

  private int percent = 100;
  private int harmlessPercent = 100;
  private int overInRow;

  @Override
  public void observe(
      List<BestEffortThrottler.TailReading> readings,
      BestEffortThrottler.BestEffortLoad filling,
      long nowNanos) {
    boolean suspects = filling.interferingMilli() > 0;
    if (readings.isEmpty() || (!suspects && filling.benignMilli() == 0)) {
      percent = readings.isEmpty() ? 100 : FIRST_PERCENT;
      harmlessPercent = 100;
      overInRow = 0;
      return;
    }
    double worst = BestEffortThrottler.worstPercent(readings);
    overInRow = worst > OVER_PERCENT ? overInRow + 1 : 0;
    if (worst > HIGH_PERCENT) {
      slowDown(worst);
    } else {
      speedUp(worst);
    }
    percent = suspects ? percent : FIRST_PERCENT;
  }

  private void slowDown(double worst) {
    double factor = worst > SEVERE_PERCENT ? 0.25 : worst > OVER_PERCENT ? 0.5 : 0.75;
    percent = atLeast((int) (percent * factor));
    if (overInRow == 2) {
      harmlessPercent = atLeast(harmlessPercent / 2);
    } else if (overInRow > 2) {
      percent = 0;
      harmlessPercent = 0;
    }
  }

  private static int atLeast(int share) {
    return share < LEAST ? 0 : share;
  }

  private void speedUp(double worst) {
    if (harmlessPercent < 100) {
      harmlessPercent = Math.min(100, harmlessPercent + HARMLESS_RISE);
    } else if (worst < LOW_PERCENT) {
      int rise = (int) Math.ceil(MOST_RISE * (LOW_PERCENT - worst) / LOW_PERCENT);
      percent = Math.min(100, percent + rise);
    }
  }

  @Override
  public int percent(boolean suspect) {
    return suspect ? percent : harmlessPercent;
  }
}
