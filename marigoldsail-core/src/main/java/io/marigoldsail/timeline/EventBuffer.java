package io.marigoldsail.timeline;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Ring buffer of a process's most recent events.
 *
 * <p>Recording is on the path of every request: it takes no lock, never waits, and costs two atomic
 * updates and one small object. Safe for any thread.
 */
public final class EventBuffer implements EventRecorder {
  private static final int MAX_CAPACITY = 1 << 20;

  private final String process;
  private final HybridClock clock;
  private final long incarnation;
  private final int mask;
  private final AtomicReferenceArray<TimedEvent> ring;
  private final AtomicLong lastSequence = new AtomicLong();

  /**
   * Creates an empty buffer.
   *
   * @param process the process's name
   * @param clock the source of the events' stamps
   * @param capacity the number of retained events, a power of two
   */
  public EventBuffer(String process, HybridClock clock, int capacity) {
    checkArgument(
        Integer.bitCount(capacity) == 1 && capacity <= MAX_CAPACITY,
        "capacity is not a power of two up to %s: %s",
        MAX_CAPACITY,
        capacity);
    this.process = requireNonNull(process, "process");
    this.clock = requireNonNull(clock, "clock");
    this.incarnation = clock.now();
    this.mask = capacity - 1;
    this.ring = new AtomicReferenceArray<>(capacity);
  }

  @Override
  public void record(Event event) {
    long sequence = lastSequence.incrementAndGet();
    ring.set(slot(sequence), new TimedEvent(sequence, clock.now(), process, event));
  }

  /**
   * Returns the oldest events after a sequence number.
   *
   * @param after the {@code next} of the previous page, or 0 for the oldest retained event
   * @param limit maximum number of events, at least 1
   * @param filter which events to return; others are skipped and do not count towards the limit
   */
  public EventPage page(long after, int limit, EventFilter filter) {
    checkArgument(limit >= 1, "limit is below 1: %s", limit);
    requireNonNull(filter, "filter");
    // Read before the sequence number: an event with a later number also has a later stamp.
    long now = clock.now();
    long last = lastSequence.get();
    // A number past the end is from an earlier incarnation: start from the oldest event.
    long from = after < 0 || after > last ? 0 : after;
    long oldest = Math.max(0, last - ring.length());
    long lost = Math.max(0, oldest - from);
    long next = Math.max(from, oldest);
    List<TimedEvent> events = new ArrayList<>();
    while (next < last && events.size() < limit) {
      TimedEvent timed = ring.get(slot(next + 1));
      if (timed == null || timed.sequence() < next + 1) {
        // The number is assigned but the event is not stored yet; the next page returns it.
        break;
      }
      next++;
      if (timed.sequence() > next) {
        lost++;
      } else if (filter.matches(timed.event())) {
        events.add(timed);
      }
    }
    long asOf = next == last ? now : 0;
    return new EventPage(process, incarnation, next, lost, asOf, events);
  }

  private int slot(long sequence) {
    return (int) (sequence & mask);
  }
}
