package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.BestEffortThrottler;
import java.util.List;

/**
 * A throttling with one speed for all interfering tasks, whatever they declare.
 *
 * <p>Used for comparison only. Not thread-safe.
 */
final class UniformThrottling implements Throttling {
  private static final int INITIAL_PERCENT = 60;
  private static final int LOW_PERCENT = 72;
  private static final int HIGH_PERCENT = 92;
  private static final int OVER_PERCENT = 100;
  private static final int SEVERE_PERCENT = 150;
  private static final int MIN_PERCENT = 4;
  private static final int MAX_RISE_PERCENT = 16;
  private static final int BENIGN_RISE_PERCENT = 25;

  private int percent = 100;
  private int benignPercent = 100;
  private int consecutiveOver;

  @Override
  public void observe(
      List<BestEffortThrottler.TailReading> readings,
      BestEffortThrottler.BestEffortLoad load,
      long nowNanos) {
    boolean hasInterfering = load.interferingMilli() > 0;
    if (readings.isEmpty() || (!hasInterfering && load.benignMilli() == 0)) {
      percent = readings.isEmpty() ? 100 : INITIAL_PERCENT;
      benignPercent = 100;
      consecutiveOver = 0;
      return;
    }
    double worst = BestEffortThrottler.worstPercent(readings);
    consecutiveOver = worst > OVER_PERCENT ? consecutiveOver + 1 : 0;
    if (worst > HIGH_PERCENT) {
      throttle(worst);
    } else {
      relax(worst);
    }
    percent = hasInterfering ? percent : INITIAL_PERCENT;
  }

  private void throttle(double worst) {
    double factor = worst > SEVERE_PERCENT ? 0.25 : worst > OVER_PERCENT ? 0.5 : 0.75;
    percent = atLeast((int) (percent * factor));
    if (consecutiveOver == 2) {
      benignPercent = atLeast(benignPercent / 2);
    } else if (consecutiveOver > 2) {
      percent = 0;
      benignPercent = 0;
    }
  }

  private static int atLeast(int speed) {
    return speed < MIN_PERCENT ? 0 : speed;
  }

  private void relax(double worst) {
    if (benignPercent < 100) {
      benignPercent = Math.min(100, benignPercent + BENIGN_RISE_PERCENT);
    } else if (worst < LOW_PERCENT) {
      int rise = (int) Math.ceil(MAX_RISE_PERCENT * (LOW_PERCENT - worst) / LOW_PERCENT);
      percent = Math.min(100, percent + rise);
    }
  }

  @Override
  public int percent(boolean interfering) {
    return interfering ? percent : benignPercent;
  }
}
