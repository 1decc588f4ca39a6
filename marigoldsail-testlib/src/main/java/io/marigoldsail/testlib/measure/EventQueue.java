package io.marigoldsail.testlib.measure;

import static com.google.common.base.Preconditions.checkArgument;

import io.marigoldsail.testlib.VirtualClock;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of virtual time, and those of the same time in scheduling order. */
final class EventQueue {
  private record Event(long time, long sequence, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::sequence));
  private final VirtualClock clock = new VirtualClock();
  private long sequence;

  long now() {
    return clock.nanos();
  }

  void schedule(long time, Runnable action) {
    checkArgument(time >= now(), "%s is before %s", time, now());
    events.add(new Event(time, sequence++, action));
  }

  /** Runs all actions up to the given time and advances the clock to it; later ones stay queued. */
  void runUntil(long time) {
    while (!events.isEmpty() && events.peek().time() <= time) {
      Event event = events.poll();
      clock.advanceTo(event.time());
      event.action().run();
    }
    clock.advanceTo(time);
  }
}
