package io.marigoldsail.daemon.workflow;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time in steps of one millisecond, and the actions that are due on it. One thread. */
final class SimulatedTime {
  private record Event(long at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long now;
  private long scheduled;

  /** Returns the elapsed time in milliseconds. */
  long now() {
    return now;
  }

  /** Runs the action after the delay in milliseconds; at 0, later in the same step. */
  void after(long millis, Runnable action) {
    events.add(new Event(now + millis, scheduled++, action));
  }

  /** Runs the action periodically, first after one period. */
  void every(long millis, Runnable action) {
    after(
        millis,
        () -> {
          action.run();
          every(millis, action);
        });
  }

  /** Advances by one step and runs what is due. */
  void step() {
    now++;
    while (!events.isEmpty() && events.peek().at() <= now) {
      events.poll().action().run();
    }
  }
}
