package io.marigoldsail.testlib;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.time.MonotonicClock;
import io.marigoldsail.time.WallClock;

/** A clock that advances only when a test advances it. Not thread-safe. */
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

  /** Advances the clock by the given nanoseconds. */
  public void advance(long byNanos) {
    checkArgument(byNanos >= 0, "byNanos is negative: %s", byNanos);
    nanos += byNanos;
  }

  /** Advances the clock to a time that is not before the current one. */
  public void advanceTo(long newNanos) {
    checkArgument(newNanos >= nanos, "%s is before %s", newNanos, nanos);
    nanos = newNanos;
  }
}
