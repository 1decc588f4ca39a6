package io.marigoldsail.timeline;

/**
 * Where a process puts its events. Never blocks and never throws; the oldest events give way.
 *
 * <p>Safe for any thread.
 */
@FunctionalInterface
public interface EventRecorder {
  /** Keeps the event, stamped with this process's name and time. */
  void record(Event event);

  /** Returns a recorder that keeps nothing. */
  static EventRecorder none() {
    return event -> {};
  }
}
