package io.marigoldsail.workflow;

import java.util.List;

/**
 * Decides at which share of their speed the tasks that fill one VM may work, so that tasks with a
 * latency target beside them keep it.
 *
 * <p>Load pattern: a task that fills disturbs the tasks that serve, by amounts that differ by image
 * and change within seconds, and the tail is measured each half second. Without pacing a service is
 * over its target for as long as the heavy tasks last. The first bad reading halves the share, the
 * second in a row, or one far over the target, takes it all, and the third stops everything that
 * fills: readings come half a second to a second apart, are rough, and users feel what lasts some
 * seconds. The share rises by small steps while readings are well below the target, because a rise
 * that was too large costs a service its target and one that was too small costs only throughput.
 *
 * <p>Tasks of images believed to be harmless ({@link ImageHarm}) are slowed only once slowing the
 * others did not help. Without tasks that fill, tails swing with the load of the services
 * themselves and say nothing.
 *
 * <p>Confined to one thread.
 */
public final class FillPacer {
  /** A tail over this share of its target, in percent, halves the speed of what fills. */
  static final int HIGH_PERCENT = 92;

  /** A tail over this share of its target, in percent, takes all speed at once. */
  static final int SEVERE_PERCENT = 150;

  /** A tail under this share of its target, in percent, lets what fills speed up. */
  static final int LOW_PERCENT = 72;

  /** The step by which the speed rises, in percent. */
  static final int RISE = 12;

  /** Speeds under this, in percent, are taken as none. */
  static final int LEAST = 10;

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

  private int percent = 100;
  private int harmlessPercent = 100;
  private int badInRow;
  private long lastReading = Long.MIN_VALUE;

  /** Returns the share of its speed at which a task that fills may work now, 0 to 100. */
  public int percent() {
    return percent;
  }

  /** Returns the same for one of an image that is believed to be harmless. */
  public int harmlessPercent() {
    return harmlessPercent;
  }

  /**
   * Takes the newest readings of all tasks with a target; none if no such task runs.
   *
   * @param fills whether a task that fills is beside them
   * @param now monotonic nanoseconds
   * @return the new share
   */
  public int observe(List<Reading> readings, boolean fills, long now) {
    if (readings.isEmpty() || !fills) {
      percent = 100;
      harmlessPercent = 100;
      badInRow = 0;
      return percent;
    }
    if (lastReading != Long.MIN_VALUE && now - lastReading < PERIOD_NANOS) {
      return percent;
    }
    lastReading = now;
    double worst = worstPercent(readings);
    if (worst > HIGH_PERCENT) {
      badInRow++;
      slowDown(worst);
      return percent;
    }
    badInRow = 0;
    if (worst < LOW_PERCENT && percent < 100) {
      speedUp();
    }
    return percent;
  }

  /** Returns the worst tail as a share of its target, in percent. */
  public static double worstPercent(List<Reading> readings) {
    return readings.stream().mapToDouble(Reading::share).max().orElse(0);
  }

  private void slowDown(double worst) {
    boolean hadNone = percent == 0;
    percent = badInRow > 1 || worst > SEVERE_PERCENT ? 0 : half(percent);
    if (badInRow > 2) {
      harmlessPercent = 0;
    } else if (badInRow > 1 || hadNone) {
      harmlessPercent = half(harmlessPercent);
    }
  }

  private static int half(int share) {
    return share / 2 < LEAST ? 0 : share / 2;
  }

  private void speedUp() {
    if (harmlessPercent < 100) {
      harmlessPercent = Math.min(100, harmlessPercent + RISE);
    } else {
      percent = Math.min(100, percent + RISE);
    }
  }
}
