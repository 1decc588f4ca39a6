package io.marigoldsail.time;

/**
 * A clock of one process, in nanoseconds from an arbitrary origin, that never runs backwards.
 *
 * <p>Deadlines are readings of this clock plus a duration; they have no meaning in another process.
 * Safe for any thread.
 */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns nanoseconds since this clock's origin. */
  long nanos();

  /** Returns the clock of this Java virtual machine. */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
