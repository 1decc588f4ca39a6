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
 * <p>Tasks of images believed to be harmless ({@link ImageHarm}), as opposed to suspects, are
 * slowed only once slowing the suspects did not help, and only for tails over the target. Without
 * tasks that fill, tails swing with the load of the services themselves and say nothing.
 *
 * <p>Confined to one thread.
 */
public final class FillPacer {
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
  private static final double MOST_RISE_PART = 0.4;

  /** By how much the share of what is believed to be harmless rises with a reading, in percent. */
  static final int HARMLESS_RISE = 25;

  /**
   * The part of a VM's processors on which suspects begin beside a service: so much that tails tell
   * within two seconds whether their image disturbs, and so little that most services bear it until
   * then.
   */
  private static final double FIRST_PART = 0.125;

  /** Speeds under this, in percent, are taken as none. */
  static final int LEAST = 4;

  /** The least time between two decisions, in nanoseconds: readings are over half a second. */
  static final long PERIOD_NANOS = 350_000_000L;

  /**
   * The tail of one task.
   *
   * @param tailMillis as measured over the last half second
   * @param targetMillis what its users are promised
   */
  public record Reading(long tailMillis, long targetMillis) {
    double share() {
      return 100.0 * tailMillis / targetMillis;
    }
  }

  /**
   * What fills a VM, in thousandths of a processor.
   *
   * @param suspectMilli what tasks of images that may disturb declared
   * @param harmlessMilli what tasks of images that are believed to be harmless declared
   * @param capacityMilli all that the VM has
   */
  public record Filling(long suspectMilli, long harmlessMilli, long capacityMilli) {
    /** Checks the components. */
    public Filling {
      checkArgument(suspectMilli >= 0, "suspectMilli is negative: %s", suspectMilli);
      checkArgument(harmlessMilli >= 0, "harmlessMilli is negative: %s", harmlessMilli);
      checkArgument(capacityMilli >= 0, "capacityMilli is negative: %s", capacityMilli);
    }

    private double firstMilli() {
      return FIRST_PART * capacityMilli;
    }
  }

  /** What suspects may work on together, in thousandths of a processor. */
  private double allowedMilli;

  private int percent = 100;
  private int harmlessPercent = 100;
  private int overInRow;
  private long lastReading = Long.MIN_VALUE;

  /** Returns the share of its speed at which a suspect may work now, 0 to 100. */
  public int percent() {
    return percent;
  }

  /** Returns the same for a task of an image that is believed to be harmless. */
  public int harmlessPercent() {
    return harmlessPercent;
  }

  /**
   * Takes the newest readings of all tasks with a target; none if no such task runs.
   *
   * @param filling what is beside them
   * @param now monotonic nanoseconds
   * @return the new share of suspects
   */
  public int observe(List<Reading> readings, Filling filling, long now) {
    boolean nothingFills = filling.suspectMilli() == 0 && filling.harmlessMilli() == 0;
    if (readings.isEmpty() || nothingFills) {
      allowedMilli = filling.firstMilli();
      percent = 100;
      harmlessPercent = 100;
      overInRow = 0;
      return percent;
    }
    boolean first = lastReading == Long.MIN_VALUE;
    if (first) {
      allowedMilli = filling.firstMilli();
    }
    if (first || now - lastReading >= PERIOD_NANOS) {
      lastReading = now;
      take(worstPercent(readings), filling);
    }
    percent = share(filling);
    return percent;
  }

  private void take(double worst, Filling filling) {
    overInRow = worst > OVER_PERCENT ? overInRow + 1 : 0;
    if (worst > HIGH_PERCENT) {
      slowDown(worst, filling);
    } else {
      speedUp(worst, filling);
    }
    if (filling.suspectMilli() == 0) {
      allowedMilli = filling.firstMilli();
    }
  }

  private int share(Filling filling) {
    if (filling.suspectMilli() == 0) {
      return 100;
    }
    double share = 100 * allowedMilli / filling.suspectMilli();
    return share < LEAST ? 0 : (int) Math.min(100, share);
  }

  /** Returns the worst tail as a share of its target, in percent. */
  public static double worstPercent(List<Reading> readings) {
    return readings.stream().mapToDouble(Reading::share).max().orElse(0);
  }

  private void slowDown(double worst, Filling filling) {
    double working = Math.min(allowedMilli, filling.suspectMilli());
    if (worst > SEVERE_PERCENT) {
      allowedMilli = working / 4;
    } else if (worst > OVER_PERCENT) {
      allowedMilli = working / 2;
    } else {
      allowedMilli = working * 3 / 4;
    }
    if (overInRow == 2) {
      harmlessPercent = harmlessPercent / 2 < LEAST ? 0 : harmlessPercent / 2;
    } else if (overInRow > 2) {
      allowedMilli = 0;
      harmlessPercent = 0;
    }
  }

  private void speedUp(double worst, Filling filling) {
    if (harmlessPercent < 100) {
      harmlessPercent = Math.min(100, harmlessPercent + HARMLESS_RISE);
      return;
    }
    boolean inUse = allowedMilli < filling.suspectMilli() + filling.firstMilli();
    if (worst < LOW_PERCENT && inUse) {
      double left = (LOW_PERCENT - worst) / LOW_PERCENT;
      allowedMilli += MOST_RISE_PART * filling.capacityMilli() * left * left;
    }
  }
}
