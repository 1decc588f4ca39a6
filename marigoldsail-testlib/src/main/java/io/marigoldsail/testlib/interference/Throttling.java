package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.BestEffortThrottler;
import java.util.List;

/** Decides at which speed tasks that fill work beside services on one VM. */
interface Throttling {
  /** Takes the newest tails and what is beside them. */
  void observe(
      List<BestEffortThrottler.TailReading> readings,
      BestEffortThrottler.BestEffortLoad filling,
      long nowNanos);

  /** Returns the speed of a task, in percent. */
  int percent(boolean suspect);

  /** The product's own. */
  static Throttling ofProduct() {
    BestEffortThrottler pacer = new BestEffortThrottler();
    return new Throttling() {
      @Override
      public void observe(
          List<BestEffortThrottler.TailReading> readings,
          BestEffortThrottler.BestEffortLoad filling,
          long nowNanos) {
        pacer.observe(readings, filling, nowNanos);
      }

      @Override
      public int percent(boolean suspect) {
        return suspect ? pacer.interferingPercent() : pacer.benignPercent();
      }
    };
  }

  /** None: everything works at full speed. */
  static Throttling none() {
    return new Throttling() {
      @Override
      public void observe(
          List<BestEffortThrottler.TailReading> readings,
          BestEffortThrottler.BestEffortLoad filling,
          long nowNanos) {
        // Nothing changes the speed.
      }

      @Override
      public int percent(boolean suspect) {
        return 100;
      }
    };
  }
}
