package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.FillPacer;
import java.util.List;

/** Decides at which speed tasks that fill work beside services on one VM. */
interface Pacing {
  /** Takes the newest tails and what is beside them. */
  void observe(List<FillPacer.Reading> readings, FillPacer.Filling filling, long nowNanos);

  /** Returns the speed of a task, in percent. */
  int percent(boolean suspect);

  /** The product's own. */
  static Pacing ofProduct() {
    FillPacer pacer = new FillPacer();
    return new Pacing() {
      @Override
      public void observe(
          List<FillPacer.Reading> readings, FillPacer.Filling filling, long nowNanos) {
        pacer.observe(readings, filling, nowNanos);
      }

      @Override
      public int percent(boolean suspect) {
        return suspect ? pacer.percent() : pacer.harmlessPercent();
      }
    };
  }

  /** None: everything works at full speed. */
  static Pacing none() {
    return new Pacing() {
      @Override
      public void observe(
          List<FillPacer.Reading> readings, FillPacer.Filling filling, long nowNanos) {
        // Nothing changes the speed.
      }

      @Override
      public int percent(boolean suspect) {
        return 100;
      }
    };
  }
}
