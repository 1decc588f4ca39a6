package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.BestEffortThrottler;
import java.util.List;

/**
 * A throttling with one speed for all interfering tasks, whatever they declare.
 *
 * <p>Used for comparison only. Not thread-safe.
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
      BestEffortThrottler.BestEffortLoad load,
      long nowNanos) {
    boolean hasInterfering = load.interferingMilli() > 0;
    if (readings.isEmpty() || (!hasInterfering && load.benignMilli() == 0)) {
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
    percent = hasInterfering ? percent : FIRST_PERCENT;
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

  private static int atLeast(int speed) {
    return speed < LEAST ? 0 : speed;
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
  public int percent(boolean interfering) {
    return interfering ? percent : harmlessPercent;
  }
}
