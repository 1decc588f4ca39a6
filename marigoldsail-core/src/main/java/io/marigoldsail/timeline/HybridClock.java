package io.marigoldsail.timeline;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.time.WallClock;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A hybrid logical clock: stamps that follow cause and effect over processes and stay near the wall
 * clock (Kulkarni et al., 2014).
 *
 * <p>A stamp is one long: milliseconds since the Unix epoch in the upper 48 bits, a counter in the
 * lower 16. An overflow of the counter carries into the milliseconds, which keeps the order. Stamps
 * of one clock are all different. Safe for any thread; costs one compare-and-set and one reading of
 * the wall clock.
 *
 * <p>Guards against wall clocks that disagree by seconds or step back: without the exchange of
 * stamps an answer is shown before its request, because the answering VM's clock is behind. With
 * it, whoever has observed a stamp gives only greater ones.
 */
public final class HybridClock {
  /**
   * The farthest that a foreign stamp may lie ahead of the own wall clock, in milliseconds. One VM
   * whose clock is a year ahead would otherwise drag all others there for good; a minute is far
   * more than synchronised clocks disagree.
   */
  public static final long MAX_LEAD_MILLIS = 60_000;

  private static final int COUNTER_BITS = 16;
  private static final long MAX_MILLIS = (1L << 47) - 1;

  private final WallClock wallClock;
  private final AtomicLong last = new AtomicLong();

  /** Creates a clock near the given wall clock. */
  public HybridClock(WallClock wallClock) {
    this.wallClock = requireNonNull(wallClock, "wallClock");
  }

  /** Returns a stamp greater than every one given or observed so far. */
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
   * Takes note of a stamp that came with a message, so that later ones here are greater.
   *
   * @return false if the stamp lies more than {@link #MAX_LEAD_MILLIS} ahead or is negative, and
   *     was ignored; order with that process is then by wall clock only
   */
  public boolean observe(long stamp) {
    if (stamp < 0 || millis(stamp) > wallClock.millis() + MAX_LEAD_MILLIS) {
      return false;
    }
    last.accumulateAndGet(stamp, Math::max);
    return true;
  }

  /** Returns the milliseconds since the Unix epoch that a stamp stands for. */
  public static long millis(long stamp) {
    return stamp >> COUNTER_BITS;
  }

  /** Returns the earliest stamp of a millisecond. */
  public static long stampOf(long millis) {
    checkArgument(millis >= 0 && millis <= MAX_MILLIS, "millis out of range: %s", millis);
    return millis << COUNTER_BITS;
  }

  private long wallStamp() {
    return Math.min(Math.max(wallClock.millis(), 0), MAX_MILLIS) << COUNTER_BITS;
  }
}
