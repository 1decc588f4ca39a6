package io.marigoldsail.colocation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Predicts the headroom that one service task has without best-effort work for the time of a short
 * run.
 *
 * <p>Answers services whose own load rises and falls within seconds: best-effort work that fits at
 * the trough must not be there at the peak. The prediction is the present headroom less the
 * steepest fall that is expected meanwhile, but not less than the lowest one of the recent past.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
final class HeadroomForecast {
  /** How long readings count, in nanoseconds; covers the period of usual load swings. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Headroom that a rising load may take during a short run. */
  static final double EXPECTED_FALL = 0.8;

  /** Headroom above this is of no use to best-effort work, and rough. */
  private static final double MAX_HEADROOM = 5;

  /** Headroom of a service that has not been measured: that of a usual peak. */
  static final double UNKNOWN = 1.6;

  private record Reading(double headroom, long at) {}

  /** Readings in order of time, each lower than all later ones. */
  private final Deque<Reading> minima = new ArrayDeque<>();

  private double present = UNKNOWN;

  /** Records the headroom without best-effort work. */
  void observe(double headroom, long now) {
    present = Math.min(MAX_HEADROOM, headroom);
    while (!minima.isEmpty() && minima.getLast().headroom() >= present) {
      minima.removeLast();
    }
    minima.addLast(new Reading(present, now));
    while (now - minima.getFirst().at() > MEMORY_NANOS) {
      minima.removeFirst();
    }
  }

  /** Returns the last headroom. */
  double present() {
    return present;
  }

  /** Returns the headroom to be expected during a short run. */
  double expected() {
    double lowest = minima.isEmpty() ? UNKNOWN : minima.getFirst().headroom();
    return Math.max(lowest, present - EXPECTED_FALL);
  }
}
