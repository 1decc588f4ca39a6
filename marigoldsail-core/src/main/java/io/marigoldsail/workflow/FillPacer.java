package io.marigoldsail.workflow;

import java.util.List;

/**
 * Decides at which share of their speed the tasks that fill one VM may work, so that tasks with a
 * latency target beside them keep it.
 *
 * <p>Load pattern: a task that fills disturbs the tasks that serve, by amounts that differ by image
 * and change within seconds, and the tail is measured each half second. Without pacing a service is
 * over its target for as long as the heavy tasks last; with shares that jump between all and
 * nothing what fills stands still most of the time and disturbs in between. So the share falls by
 * the measure of a bad reading and rises by the measure of what is left below the target, from a
 * first share: at the target itself nothing moves. The third reading in a row over the target stops
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
  static final int LOW_PERCENT = 72;

  /** The most by which the share of suspects rises with a reading, in percent. */
  static final int MOST_RISE = 16;

  /** The same for what is believed to be harmless, whose effect is small. */
  static final int HARMLESS_RISE = 25;

  /**
   * The share at which suspects begin beside a service: so much that tails tell within two seconds
   * whether their image disturbs, and so little that most services bear it until then.
   */
  static final int FIRST_PERCENT = 60;

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
   * @param suspects whether a suspect is beside them
   * @param harmless whether a task that fills and is believed to be harmless is beside them
   * @param now monotonic nanoseconds
   * @return the new share of suspects
   */
  public int observe(List<Reading> readings, boolean suspects, boolean harmless, long now) {
    if (readings.isEmpty() || (!suspects && !harmless)) {
      percent = readings.isEmpty() ? 100 : FIRST_PERCENT;
      harmlessPercent = 100;
      overInRow = 0;
      return percent;
    }
    if (lastReading != Long.MIN_VALUE && now - lastReading < PERIOD_NANOS) {
      return percent;
    }
    lastReading = now;
    double worst = worstPercent(readings);
    overInRow = worst > OVER_PERCENT ? overInRow + 1 : 0;
    if (worst > HIGH_PERCENT) {
      slowDown(worst);
    } else {
      speedUp(worst);
    }
    if (!suspects) {
      percent = FIRST_PERCENT;
    }
    return percent;
  }

  /** Returns the worst tail as a share of its target, in percent. */
  public static double worstPercent(List<Reading> readings) {
    return readings.stream().mapToDouble(Reading::share).max().orElse(0);
  }

  private void slowDown(double worst) {
    if (worst > SEVERE_PERCENT) {
      percent = atLeast(percent / 4);
    } else if (worst > OVER_PERCENT) {
      percent = atLeast(percent / 2);
    } else {
      percent = atLeast(percent * 3 / 4);
    }
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
}
