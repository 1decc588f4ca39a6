package io.marigoldsail.timeline;

/**
 * Records the events of a process. Never blocks and never throws; the oldest events are
 * overwritten.
 *
 * <p>Safe for any thread.
 */
@FunctionalInterface
public interface EventRecorder {
  /** Records the event with this process's name and time. */
  void record(Event event);

  /** Returns a recorder that discards all events. */
  static EventRecorder none() {
    return event -> {};
  }
}
