package io.marigoldsail.time;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * A time in one process by its monotonic clock and by its wall clock, so that the age of something
 * counts a suspension of the machine: the monotonic clock does not count that time, and the wall
 * clock may step back. Immutable.
 *
 * <p>The age is never less than the time that has passed, unless the wall clock stepped back within
 * the same time in which the machine was suspended. A wall clock that steps ahead only makes the
 * age greater.
 *
 * @param steadyNanos the monotonic clock, in nanoseconds
 * @param wallMillis the wall clock, in milliseconds
 * @param divergences how often the clocks had been seen to diverge, see {@link ClockPair}
 */
public record ClockReading(long steadyNanos, long wallMillis, long divergences) {
  /** Checks the components. */
  public ClockReading {
    checkArgument(divergences >= 0, "divergences is negative: %s", divergences);
  }

  /** Returns the age of this reading at a later one: the greater one by the two clocks. */
  public long ageNanos(ClockReading now) {
    return Math.max(steadyNanosUntil(now), wallNanosUntil(now));
  }

  /** Returns whether the clocks were not seen to diverge between this reading and a later one. */
  public boolean isContinuousUntil(ClockReading now) {
    return divergences == now.divergences;
  }

  /** Returns the time until a later reading by the monotonic clock, in nanoseconds. */
  long steadyNanosUntil(ClockReading now) {
    return now.steadyNanos - steadyNanos;
  }

  /** Returns the time until a later reading by the wall clock, in nanoseconds. */
  long wallNanosUntil(ClockReading now) {
    return TimeUnit.MILLISECONDS.toNanos(now.wallMillis - wallMillis);
  }
}
