package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;

/**
 * Decides at which share of their speed the tasks that fill one VM may work, so that tasks with a
 * latency target beside them keep it.
 *
 * <p>Load pattern: a task that fills disturbs the tasks that serve, by amounts that differ by image
 * and change within seconds, and the tail is measured each half second. Without pacing a service is
 * over its target for as long as the heavy tasks last; with shares that jump between all and
 * nothing what fills stands still most of the time and disturbs in between. So what suspects may
 * work on together is bounded by a number of processors. It falls by the measure of a bad reading
 * and rises by the measure of what is left below the target: near the target nothing moves, far
 * below it speed comes back within seconds. Tasks that join share what there is, so a burst of them
 * does not disturb more than the ones before. The third reading in a row over the target stops
 * everything that fills: readings come half a second to a second apart, are rough, and users feel
 * what lasts some seconds.
 *
 * <p>Tasks of images believed to be harmless ({@link ImageInterference}), as opposed to suspects,
 * are slowed only once slowing the suspects did not help, and only for tails over the target.
 * Without tasks that fill, tails swing with the load of the services themselves and say nothing.
 *
 * <p>Confined to one thread.
 */
public final class BestEffortThrottler {
  /** A tail over this share of its target, in percent, slows suspects down a little. */
  static final int HIGH_PERCENT = 92;

  /** A tail over this share of its target, in percent, is felt. */
  static final int OVER_PERCENT = 100;

  /** A tail over this share of its target, in percent, takes most of the speed at once. */
  static final int SEVERE_PERCENT = 150;

  /** A tail under this share of its target, in percent, lets suspects speed up. */
  static final int LOW_PERCENT = 80;

  /**
   * The most by which the processors of suspects rise with a reading, as a part of the VM's, for a
   * tail of nothing. Half way down from {@link #LOW_PERCENT} it is a quarter of that: tails answer
   * to what disturbs them late and then steeply.
   */
  private static final double MAX_RISE_FRACTION = 0.4;

  /** By how much the share of what is believed to be harmless rises with a reading, in percent. */
  static final int BENIGN_RISE_PERCENT = 25;

  /**
   * The part of a VM's processors on which suspects begin beside a service: so much that tails tell
   * within two seconds whether their image disturbs, and so little that most services bear it until
   * then.
   */
  private static final double INITIAL_FRACTION = 0.125;

  /** Speeds under this, in percent, are taken as none. */
  static final int MIN_PERCENT = 4;

  /** The least time between two decisions, in nanoseconds: readings are over half a second. */
  static final long PERIOD_NANOS = 350_000_000L;

  /**
   * The tail of one task.
   *
   * @param tailMillis as measured over the last half second
   * @param targetMillis what its users are promised
   */
  public record TailReading(long tailMillis, long targetMillis) {
    double percentOfTarget() {
      return 100.0 * tailMillis / targetMillis;
    }
  }

  /**
   * What fills a VM, in thousandths of a processor.
   *
   * @param interferingMilli what tasks of images that may disturb declared
   * @param benignMilli what tasks of images that are believed to be harmless declared
   * @param capacityMilli all that the VM has
   */
  public record BestEffortLoad(long interferingMilli, long benignMilli, long capacityMilli) {
    /** Checks the components. */
    public BestEffortLoad {
      checkArgument(interferingMilli >= 0, "suspectMilli is negative: %s", interferingMilli);
      checkArgument(benignMilli >= 0, "harmlessMilli is negative: %s", benignMilli);
      checkArgument(capacityMilli >= 0, "capacityMilli is negative: %s", capacityMilli);
    }

    private double initialMilli() {
      return INITIAL_FRACTION * capacityMilli;
    }
  }

  /** What suspects may work on together, in thousandths of a processor. */
  private double interferingBudgetMilli;

  private int interferingPercent = 100;
  private int benignPercent = 100;
  private int consecutiveOver;
  private long lastReading = Long.MIN_VALUE;

  /** Returns the share of its speed at which a suspect may work now, 0 to 100. */
  public int interferingPercent() {
    return interferingPercent;
  }

  /** Returns the same for a task of an image that is believed to be harmless. */
  public int benignPercent() {
    return benignPercent;
  }

  /**
   * Takes the newest readings of all tasks with a target; none if no such task runs.
   *
   * @param filling what is beside them
   * @param now monotonic nanoseconds
   * @return the new share of suspects
   */
  public int observe(List<TailReading> readings, BestEffortLoad filling, long now) {
    boolean nothingFills = filling.interferingMilli() == 0 && filling.benignMilli() == 0;
    if (readings.isEmpty() || nothingFills) {
      interferingBudgetMilli = filling.initialMilli();
      interferingPercent = 100;
      benignPercent = 100;
      consecutiveOver = 0;
      return interferingPercent;
    }
    boolean first = lastReading == Long.MIN_VALUE;
    if (first) {
      interferingBudgetMilli = filling.initialMilli();
    }
    if (first || now - lastReading >= PERIOD_NANOS) {
      lastReading = now;
      applyReading(worstPercent(readings), filling);
    }
    interferingPercent = share(filling);
    return interferingPercent;
  }

  private void applyReading(double worst, BestEffortLoad filling) {
    consecutiveOver = worst > OVER_PERCENT ? consecutiveOver + 1 : 0;
    if (worst > HIGH_PERCENT) {
      slowDown(worst, filling);
    } else {
      speedUp(worst, filling);
    }
    if (filling.interferingMilli() == 0) {
      interferingBudgetMilli = filling.initialMilli();
    }
  }

  private int share(BestEffortLoad filling) {
    if (filling.interferingMilli() == 0) {
      return 100;
    }
    double share = 100 * interferingBudgetMilli / filling.interferingMilli();
    return share < MIN_PERCENT ? 0 : (int) Math.min(100, share);
  }

  /** Returns the worst tail as a share of its target, in percent. */
  public static double worstPercent(List<TailReading> readings) {
    return readings.stream().mapToDouble(TailReading::percentOfTarget).max().orElse(0);
  }

  private void slowDown(double worst, BestEffortLoad filling) {
    double working = Math.min(interferingBudgetMilli, filling.interferingMilli());
    if (worst > SEVERE_PERCENT) {
      interferingBudgetMilli = working / 4;
    } else if (worst > OVER_PERCENT) {
      interferingBudgetMilli = working / 2;
    } else {
      interferingBudgetMilli = working * 3 / 4;
    }
    if (consecutiveOver == 2) {
      benignPercent = benignPercent / 2 < MIN_PERCENT ? 0 : benignPercent / 2;
    } else if (consecutiveOver > 2) {
      interferingBudgetMilli = 0;
      benignPercent = 0;
    }
  }

  private void speedUp(double worst, BestEffortLoad filling) {
    if (benignPercent < 100) {
      benignPercent = Math.min(100, benignPercent + BENIGN_RISE_PERCENT);
      return;
    }
    boolean inUse = interferingBudgetMilli < filling.interferingMilli() + filling.initialMilli();
    if (worst < LOW_PERCENT && inUse) {
      double left = (LOW_PERCENT - worst) / LOW_PERCENT;
      interferingBudgetMilli += MAX_RISE_FRACTION * filling.capacityMilli() * left * left;
    }
  }
}
