package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * Throttles the best-effort tasks of one VM so that co-located service tasks meet their latency
 * targets.
 *
 * <p>The interference of a best-effort task differs by image and changes within seconds, and tails
 * are measured every half second. Without throttling, a service misses its target for as long as
 * the heavy tasks last; with percentages that jump between 0 and 100, best-effort tasks are stopped
 * most of the time and interfere in between. So the processors that interfering tasks may use
 * together are limited by a budget. It shrinks with the severity of a reading over or near the
 * target, and grows with the distance below it: near the target it does not change, far below it
 * recovers within seconds. Tasks that join share the budget, so a burst interferes no more than the
 * tasks before it. The third consecutive reading over the target stops all best-effort tasks:
 * readings are half a second to a second apart and rough, and users notice a tail that lasts some
 * seconds.
 *
 * <p>Tasks of images believed to be benign ({@link ImageInterference}) are throttled only after
 * throttling the interfering ones did not help, and only for tails over the target. Without
 * best-effort tasks, tails vary with the load of the services themselves and are ignored.
 *
 * <p>Confined to one thread.
 */
public final class BestEffortThrottler {
  /** A tail over this percentage of its target shrinks the budget of interfering tasks a little. */
  static final int HIGH_PERCENT = 92;

  /** A tail over this percentage of its target is noticed by users. */
  static final int OVER_PERCENT = 100;

  /** A tail over this percentage of its target takes away most of the budget at once. */
  static final int SEVERE_PERCENT = 150;

  /** A tail under this percentage of its target lets the budget grow. */
  static final int LOW_PERCENT = 80;

  /**
   * Largest growth of the budget per reading, as a fraction of the VM's processors, for a tail of
   * zero. Half way down from {@link #LOW_PERCENT} the growth is a quarter of that, because tails
   * respond to interference late and then steeply.
   */
  private static final double MAX_RISE_FRACTION = 0.4;

  /** Growth per reading of the percentage of benign tasks, in percentage points. */
  static final int BENIGN_RISE_PERCENT = 25;

  /**
   * Initial budget as a fraction of the VM's processors: large enough that tails show within two
   * seconds whether an image interferes, and small enough that most services tolerate it until
   * then.
   */
  private static final double INITIAL_FRACTION = 0.125;

  /** Percentages below this are rounded down to zero. */
  static final int MIN_PERCENT = 4;

  /** Minimum time between two decisions, in nanoseconds: readings cover half a second. */
  static final long PERIOD_NANOS = 350_000_000L;

  /**
   * Tail latency of one service task.
   *
   * @param tailMillis as measured over the last half second, in milliseconds
   * @param targetMillis the latency target, in milliseconds
   */
  public record TailReading(long tailMillis, long targetMillis) {
    double percentOfTarget() {
      return 100.0 * tailMillis / targetMillis;
    }
  }

  /**
   * Declared processors of the best-effort tasks of a VM, in thousandths.
   *
   * @param interferingMilli those of tasks of interfering images
   * @param benignMilli those of tasks of images believed to be benign
   * @param capacityMilli all processors of the VM
   */
  public record BestEffortLoad(long interferingMilli, long benignMilli, long capacityMilli) {
    /** Checks the components. */
    public BestEffortLoad {
      checkArgument(interferingMilli >= 0, "interferingMilli is negative: %s", interferingMilli);
      checkArgument(benignMilli >= 0, "benignMilli is negative: %s", benignMilli);
      checkArgument(capacityMilli >= 0, "capacityMilli is negative: %s", capacityMilli);
    }

    private double initialMilli() {
      return INITIAL_FRACTION * capacityMilli;
    }
  }

  /** Processors that interfering tasks may use together, in thousandths. */
  private double interferingBudgetMilli;

  private int interferingPercent = 100;
  private int benignPercent = 100;
  private int consecutiveOver;
  private long lastReading = Long.MIN_VALUE;

  /** Returns the throttle percentage of interfering tasks, 0 to 100. */
  public int interferingPercent() {
    return interferingPercent;
  }

  /** Returns the throttle percentage of benign tasks, 0 to 100. */
  public int benignPercent() {
    return benignPercent;
  }

  /**
   * Records the latest readings.
   *
   * @param readings those of all tasks with a latency target; empty if none runs
   * @param load the best-effort tasks co-located with them
   * @param now monotonic nanoseconds
   * @return the new throttle percentage of interfering tasks
   */
  public int observe(List<TailReading> readings, BestEffortLoad load, long now) {
    boolean noBestEffort = load.interferingMilli() == 0 && load.benignMilli() == 0;
    if (readings.isEmpty() || noBestEffort) {
      interferingBudgetMilli = load.initialMilli();
      interferingPercent = 100;
      benignPercent = 100;
      consecutiveOver = 0;
      return interferingPercent;
    }
    boolean first = lastReading == Long.MIN_VALUE;
    if (first) {
      interferingBudgetMilli = load.initialMilli();
    }
    if (first || now - lastReading >= PERIOD_NANOS) {
      lastReading = now;
      applyReading(worstPercent(readings), load);
    }
    interferingPercent = budgetPercent(load);
    return interferingPercent;
  }

  private void applyReading(double worstTail, BestEffortLoad load) {
    consecutiveOver = worstTail > OVER_PERCENT ? consecutiveOver + 1 : 0;
    if (worstTail > HIGH_PERCENT) {
      throttle(worstTail, load);
    } else {
      restore(worstTail, load);
    }
    if (load.interferingMilli() == 0) {
      interferingBudgetMilli = load.initialMilli();
    }
  }

  private int budgetPercent(BestEffortLoad load) {
    if (load.interferingMilli() == 0) {
      return 100;
    }
    double budget = 100 * interferingBudgetMilli / load.interferingMilli();
    return budget < MIN_PERCENT ? 0 : (int) Math.min(100, budget);
  }

  /** Returns the worst tail as a percentage of its target; 0 without readings. */
  public static double worstPercent(List<TailReading> readings) {
    return readings.stream().mapToDouble(TailReading::percentOfTarget).max().orElse(0);
  }

  private void throttle(double worstTail, BestEffortLoad load) {
    double usedMilli = Math.min(interferingBudgetMilli, load.interferingMilli());
    if (worstTail > SEVERE_PERCENT) {
      interferingBudgetMilli = usedMilli / 4;
    } else if (worstTail > OVER_PERCENT) {
      interferingBudgetMilli = usedMilli / 2;
    } else {
      interferingBudgetMilli = usedMilli * 3 / 4;
    }
    if (consecutiveOver == 2) {
      benignPercent = benignPercent / 2 < MIN_PERCENT ? 0 : benignPercent / 2;
    } else if (consecutiveOver > 2) {
      interferingBudgetMilli = 0;
      benignPercent = 0;
    }
  }

  private void restore(double worstTail, BestEffortLoad load) {
    if (benignPercent < 100) {
      benignPercent = Math.min(100, benignPercent + BENIGN_RISE_PERCENT);
      return;
    }
    boolean budgetInUse = interferingBudgetMilli < load.interferingMilli() + load.initialMilli();
    if (worstTail < LOW_PERCENT && budgetInUse) {
      double headroom = (LOW_PERCENT - worstTail) / LOW_PERCENT;
      interferingBudgetMilli += MAX_RISE_FRACTION * load.capacityMilli() * headroom * headroom;
    }
  }
}
