package io.marigoldsail.timeline;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.time.WallClock;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A hybrid logical clock: its stamps follow causality across processes and stay close to the wall
 * clock (Kulkarni et al., 2014).
 *
 * <p>A stamp is one long: milliseconds since the Unix epoch in the upper 48 bits, a counter in the
 * lower 16. An overflow of the counter carries into the milliseconds, which preserves the order.
 * Stamps of one clock are unique. Safe for any thread; costs one compare-and-set and one reading of
 * the wall clock.
 *
 * <p>Wall clocks of VMs differ by seconds and step back. If processes did not exchange stamps, a
 * response from a VM whose clock lags would be shown before its request. After observing a stamp, a
 * clock returns only greater ones.
 */
public final class HybridClock {
  /**
   * Maximum lead of a received stamp over the local wall clock, in milliseconds. Without a limit
   * one VM whose clock is a year ahead would move all others there permanently. Synchronised clocks
   * differ by far less than a minute.
   */
  public static final long MAX_LEAD_MILLIS = 60_000;

  private static final int COUNTER_BITS = 16;
  private static final long MAX_MILLIS = (1L << 47) - 1;

  private final WallClock wallClock;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock that stays close to the given wall clock. */
  public HybridClock(WallClock wallClock) {
    this.wallClock = requireNonNull(wallClock, "wallClock");
  }

  /** Returns a stamp greater than all returned or observed so far. */
  public long now() {
    long wall = wallStamp();
    while (true) {
      long previous = last.get();
      long next = Math.max(previous + 1, wall);
      if (last.compareAndSet(previous, next)) {
        return next;
      }
    }
  }

  /**
   * Observes a stamp received with a message, so that later stamps of this clock are greater.
   *
   * @return false if the stamp was ignored because it is negative or more than {@link
   *     #MAX_LEAD_MILLIS} ahead; events of that process are then ordered by wall clock only
   */
  public boolean observe(long stamp) {
    if (stamp < 0 || millis(stamp) > wallClock.millis() + MAX_LEAD_MILLIS) {
      return false;
    }
    last.accumulateAndGet(stamp, Math::max);
    return true;
  }

  /** Returns the milliseconds since the Unix epoch of a stamp. */
  public static long millis(long stamp) {
    return stamp >> COUNTER_BITS;
  }

  /** Returns the earliest stamp of a millisecond. */
  public static long stampOf(long millis) {
    checkArgument(
        millis >= 0 && millis <= MAX_MILLIS, "millis is not in 0 to 2^47 - 1: %s", millis);
    return millis << COUNTER_BITS;
  }

  private long wallStamp() {
    return Math.min(Math.max(wallClock.millis(), 0), MAX_MILLIS) << COUNTER_BITS;
  }
}
