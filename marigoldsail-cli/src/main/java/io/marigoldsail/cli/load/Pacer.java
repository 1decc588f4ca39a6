package io.marigoldsail.cli.load;

import io.marigoldsail.time.MonotonicClock;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits for points in time of its clock. */
interface Pacer {
  /** Returns the current time of the clock, in nanoseconds. */
  long nanos();

  /** Blocks until the given time; returns immediately if it has passed. */
  void awaitNanos(long deadlineNanos);

  /** Returns a pacer for the given clock that parks the thread and busy-waits at the end. */
  static Pacer of(MonotonicClock clock) {
    return new Pacer() {
      /** Parking overshoots by about 50 us, so shorter waits spin. */
      private static final long SPIN_NANOS = 60_000;

      private static final long LONGEST_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

      @Override
      public long nanos() {
        return clock.nanos();
      }

      @Override
      public void awaitNanos(long deadlineNanos) {
        long remaining = deadlineNanos - clock.nanos();
        while (remaining > 0) {
          if (remaining > SPIN_NANOS) {
            LockSupport.parkNanos(Math.min(remaining - SPIN_NANOS, LONGEST_PARK_NANOS));
          } else {
            Thread.onSpinWait();
          }
          remaining = deadlineNanos - clock.nanos();
        }
      }
    };
  }
}
