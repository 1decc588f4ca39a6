package io.marigoldsail.guard;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.Optional;

/**
 * The tail latency of a service over its last answers.
 *
 * <p>Holds the last {@value #SIZE} answers that are younger than the window; a tail needs at least
 * {@value #LEAST}. Safe for any thread; adding costs a lock and two stores, reading a sort.
 */
public final class TailWindow {
  private static final int SIZE = 512;
  private static final int MIN_SAMPLES = 20;
  private static final double TAIL_QUANTILE = 0.99;
  private static final double NANOS_PER_MILLI = 1e6;

  private final long[] latencySamplesNanos = new long[SIZE];
  private final long[] answeredNanos = new long[SIZE];
  private final long windowNanos;
  private int added;

  /**
   * Creates an empty window.
   *
   * @param windowNanos answers older than this no longer count
   */
  public TailWindow(long windowNanos) {
    checkArgument(windowNanos > 0, "windowNanos is not positive: %s", windowNanos);
    this.windowNanos = windowNanos;
  }

  /** Adds an answer that took so long and came now. */
  public synchronized void add(long latencyNanos, long nowNanos) {
    int place = added % SIZE;
    latencySamplesNanos[place] = latencyNanos;
    answeredNanos[place] = nowNanos;
    added = added == Integer.MAX_VALUE ? SIZE + place + 1 : added + 1;
  }

  /**
   * Returns the tail of what was answered within the window, or empty if that was too little.
   *
   * @param goalMillis what the tail should be at most, in milliseconds
   * @param nowNanos the present reading of the clock
   */
  public synchronized Optional<ServiceReading> reading(double goalMillis, long nowNanos) {
    long[] young = new long[SIZE];
    int count = 0;
    long newest = Long.MIN_VALUE;
    for (int place = 0; place < Math.min(added, SIZE); place++) {
      if (nowNanos - answeredNanos[place] < windowNanos) {
        young[count] = latencySamplesNanos[place];
        count++;
        newest = Math.max(newest, answeredNanos[place]);
      }
    }
    if (count < MIN_SAMPLES) {
      return Optional.empty();
    }
    Arrays.sort(young, 0, count);
    long tail = young[(int) Math.ceil(TAIL_QUANTILE * count) - 1];
    return Optional.of(new ServiceReading(tail / NANOS_PER_MILLI, goalMillis, newest));
  }
}
