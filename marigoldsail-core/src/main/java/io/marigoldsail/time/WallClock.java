package io.marigoldsail.time;

/**
 * Milliseconds since the Unix epoch as this VM believes them; may jump and may disagree with
 * others.
 *
 * <p>Used only for what people read and for the time line, never to decide who may run what. Safe
 * for any thread.
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
