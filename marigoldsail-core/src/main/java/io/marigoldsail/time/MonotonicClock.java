package io.marigoldsail.time;

/**
 * The time of one process, in nanoseconds from an arbitrary origin, never running backwards.
 *
 * <p>Deadlines all over the code are readings of this clock plus a span; they mean nothing in
 * another process. Safe for any thread.
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
