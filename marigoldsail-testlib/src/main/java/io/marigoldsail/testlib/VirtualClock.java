package io.marigoldsail.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;

/** A clock that moves only when told to. Not safe for use by several threads. */
public final class VirtualClock implements MonotonicClock, WallClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private long nanos;

  /** Creates a clock that reads zero. */
  public VirtualClock() {}

  @Override
  public long nanos() {
    return nanos;
  }

  @Override
  public long millis() {
    return nanos / NANOS_PER_MILLI;
  }

  /** Moves the clock on by the given nanoseconds. */
  public void advance(long byNanos) {
    checkArgument(byNanos >= 0, "byNanos is negative: %s", byNanos);
    nanos += byNanos;
  }

  /** Moves the clock to a reading not before the present one. */
  public void advanceTo(long newNanos) {
    checkArgument(newNanos >= nanos, "%s is before %s", newNanos, nanos);
    nanos = newNanos;
  }
}
