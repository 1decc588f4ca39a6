package io.marigoldsail.time;

/**
 * Milliseconds since the Unix epoch according to this VM; may jump and may differ from other VMs.
 *
 * <p>Used only for display and for the event timeline, and never alone to decide which process may
 * run a task; see {@link ClockReading}. Safe for any thread.
 */
@FunctionalInterface
public interface WallClock {
  /** Returns milliseconds since the Unix epoch. */
  long millis();

  /** Returns the clock of this VM. */
  static WallClock system() {
    return System::currentTimeMillis;
  }
}
