package io.marigoldsail.time;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;

/**
 * The two clocks of a process, read together. Counts how often they diverge: the machine was
 * suspended, or the wall clock was stepped.
 *
 * <p>Each reading is compared with the one before, so the clocks must be read often; a drift that
 * adds up over many readings does not count. Confined to one thread.
 */
public final class ClockPair {
  /**
   * Difference of the times that the clocks have counted since the last reading, in nanoseconds,
   * above which they have diverged. Greater than a pause between the two reads of one reading.
   */
  public static final long MAX_DIFFERENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Notified when the clocks have diverged. */
  public interface Listener {
    /**
     * Called within {@link #read}, with the times that have passed since the reading before.
     *
     * @param steadyNanos the time by the monotonic clock, in nanoseconds
     * @param wallNanos the time by the wall clock, in nanoseconds; negative if it was stepped back
     */
    void diverged(long steadyNanos, long wallNanos);
  }

  private final MonotonicClock steady;
  private final WallClock wall;
  private final Listener listener;
  private ClockReading last;

  /** Creates a pair and takes the first reading. */
  public ClockPair(MonotonicClock steady, WallClock wall, Listener listener) {
    this.steady = requireNonNull(steady, "steady");
    this.wall = requireNonNull(wall, "wall");
    this.listener = requireNonNull(listener, "listener");
    this.last = new ClockReading(steady.nanos(), wall.millis(), 0);
  }

  /** Reads both clocks. */
  public ClockReading read() {
    ClockReading before = last;
    ClockReading now = new ClockReading(steady.nanos(), wall.millis(), before.divergences());
    long steadyNanos = before.steadyNanosUntil(now);
    long wallNanos = before.wallNanosUntil(now);
    if (Math.abs(wallNanos - steadyNanos) <= MAX_DIFFERENCE_NANOS) {
      last = now;
      return now;
    }
    last = new ClockReading(now.steadyNanos(), now.wallMillis(), before.divergences() + 1);
    listener.diverged(steadyNanos, wallNanos);
    return last;
  }
}
