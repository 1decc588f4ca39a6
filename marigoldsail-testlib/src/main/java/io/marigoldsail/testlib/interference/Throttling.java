package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.BestEffortThrottler;
import java.util.List;

/** Throttles best-effort tasks co-located with services on one VM. */
interface Throttling {
  /** Updates the throttling with the latest tail latencies and the best-effort load. */
  void observe(
      List<BestEffortThrottler.TailReading> readings,
      BestEffortThrottler.BestEffortLoad load,
      long nowNanos);

  /** Returns the speed of a task, in percent. */
  int percent(boolean interfering);

  /** Returns the production throttling. */
  static Throttling ofProduct() {
    BestEffortThrottler throttler = new BestEffortThrottler();
    return new Throttling() {
      @Override
      public void observe(
          List<BestEffortThrottler.TailReading> readings,
          BestEffortThrottler.BestEffortLoad load,
          long nowNanos) {
        throttler.observe(readings, load, nowNanos);
      }

      @Override
      public int percent(boolean interfering) {
        return interfering ? throttler.interferingPercent() : throttler.benignPercent();
      }
    };
  }

  /** Returns no throttling: every task runs at full speed. */
  static Throttling none() {
    return new Throttling() {
      @Override
      public void observe(
          List<BestEffortThrottler.TailReading> readings,
          BestEffortThrottler.BestEffortLoad load,
          long nowNanos) {
        // The speed is constant.
      }

      @Override
      public int percent(boolean interfering) {
        return 100;
      }
    };
  }
}
