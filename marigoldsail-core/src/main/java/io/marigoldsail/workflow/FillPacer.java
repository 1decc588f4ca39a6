package io.marigoldsail.workflow;

import java.util.List;

/**
 * Decides at which share of their speed the tasks that fill one VM may work, so that tasks with a
 * latency target beside them keep it.
 *
 * <p>Load pattern: a task that fills disturbs the tasks that serve, by amounts that differ by image
 * and change within seconds, and the tail is measured each half second. Without pacing a service is
 * over its target for as long as the heavy tasks last. The share is halved with each bad reading,
 * so it is nearly nothing after four, within the seconds in which users feel it; it rises by small
 * steps while readings are well below the target, because a rise that was too large costs a service
 * its target and one that was too small costs only throughput.
 *
 * <p>Confined to one thread.
 */
public final class FillPacer {
  /** A tail over this share of its target, in percent, halves the speed of what fills. */
  static final int HIGH_PERCENT = 96;

  /** A tail under this share of its target, in percent, lets what fills speed up. */
  static final int LOW_PERCENT = 72;

  /** The step by which the speed rises, in percent. */
  static final int RISE = 12;

  /** Speeds under this, in percent, are taken as none. */
  static final int LEAST = 10;

  /** The time between two decisions, in nanoseconds: readings are over half a second. */
  static final long PERIOD_NANOS = 450_000_000L;

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
  private long lastChange = Long.MIN_VALUE;

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
      return percent;
    }
    if (lastChange != Long.MIN_VALUE && now - lastChange < PERIOD_NANOS) {
      return percent;
    }
    double worst = worstPercent(readings);
    if (worst > HIGH_PERCENT) {
      lastChange = now;
      slowDown();
    } else if (worst < LOW_PERCENT && percent < 100) {
      lastChange = now;
      speedUp();
    }
    return percent;
  }

  /** Returns the worst tail as a share of its target, in percent. */
  public static double worstPercent(List<Reading> readings) {
    return readings.stream().mapToDouble(Reading::share).max().orElse(0);
  }

  private void slowDown() {
    if (percent > 0) {
      percent = half(percent);
    } else {
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
