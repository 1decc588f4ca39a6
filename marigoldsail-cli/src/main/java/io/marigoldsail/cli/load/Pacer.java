package io.marigoldsail.cli.load;

import io.marigoldsail.time.MonotonicClock;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits until a reading of its clock. */
interface Pacer {
  /** Returns the present reading in nanoseconds. */
  long nanos();

  /** Returns once the reading is reached; at once if it is past. */
  void awaitNanos(long reading);

  /** Returns a pacer by the given clock that parks its thread, and spins for the last stretch. */
  static Pacer of(MonotonicClock clock) {
    return new Pacer() {
      /** Parking overshoots by some 50 us; what is nearer than this is spun through. */
      private static final long SPIN_NANOS = 60_000;

      private static final long LONGEST_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

      @Override
      public long nanos() {
        return clock.nanos();
      }

      @Override
      public void awaitNanos(long reading) {
        long left = reading - clock.nanos();
        while (left > 0) {
          if (left > SPIN_NANOS) {
            LockSupport.parkNanos(Math.min(left - SPIN_NANOS, LONGEST_PARK_NANOS));
          } else {
            Thread.onSpinWait();
          }
          left = reading - clock.nanos();
        }
      }
    };
  }
}
