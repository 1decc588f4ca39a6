package io.marigoldsail.guard;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.Optional;

/**
 * Tail latency of a service over its most recent responses.
 *
 * <p>Holds the last {@value #SIZE} responses within the window; a tail needs at least {@value
 * #MIN_SAMPLES}. Thread-safe; adding costs a lock and two stores, reading a sort.
 */
public final class TailWindow {
  private static final int SIZE = 512;
  private static final int MIN_SAMPLES = 20;
  private static final double TAIL_QUANTILE = 0.99;
  private static final double NANOS_PER_MILLI = 1e6;

  private final long[] latencySamplesNanos = new long[SIZE];
  private final long[] respondedNanos = new long[SIZE];
  private final long windowNanos;
  private int added;

  /**
   * Creates an empty window.
   *
   * @param windowNanos maximum age of the responses, in nanoseconds
   */
  public TailWindow(long windowNanos) {
    checkArgument(windowNanos > 0, "windowNanos is not positive: %s", windowNanos);
    this.windowNanos = windowNanos;
  }

  /** Adds a response with the given latency that was received now. */
  public synchronized void add(long latencyNanos, long nowNanos) {
    int slot = added % SIZE;
    latencySamplesNanos[slot] = latencyNanos;
    respondedNanos[slot] = nowNanos;
    added = added == Integer.MAX_VALUE ? SIZE + slot + 1 : added + 1;
  }

  /**
   * Returns the tail latency within the window, or empty if it has too few responses.
   *
   * @param goalMillis upper limit that the tail should meet, in milliseconds
   * @param nowNanos current time, in nanoseconds
   */
  public synchronized Optional<ServiceReading> reading(double goalMillis, long nowNanos) {
    long[] recent = new long[SIZE];
    int count = 0;
    long newest = Long.MIN_VALUE;
    for (int slot = 0; slot < Math.min(added, SIZE); slot++) {
      if (nowNanos - respondedNanos[slot] < windowNanos) {
        recent[count] = latencySamplesNanos[slot];
        count++;
        newest = Math.max(newest, respondedNanos[slot]);
      }
    }
    if (count < MIN_SAMPLES) {
      return Optional.empty();
    }
    Arrays.sort(recent, 0, count);
    long tail = recent[(int) Math.ceil(TAIL_QUANTILE * count) - 1];
    return Optional.of(new ServiceReading(tail / NANOS_PER_MILLI, goalMillis, newest));
  }
}
