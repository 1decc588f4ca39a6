package io.marigoldsail.timeline;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Keeps a process's last events in a ring of fixed size.
 *
 * <p>Recording takes no lock, waits for nobody and costs two atomic updates and one small object,
 * since it stands in the path of every request. Safe for any thread.
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
   * @param clock what stamps the events
   * @param capacity how many events are kept, a power of two
   */
  public EventBuffer(String process, HybridClock clock, int capacity) {
    checkArgument(
        Integer.bitCount(capacity) == 1 && capacity <= MAX_CAPACITY,
        "capacity is no power of two up to %s: %s",
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
   * Returns the oldest events after a number.
   *
   * @param after the {@code next} of the last page, or 0 for the oldest kept
   * @param limit how many events at the most, at least 1
   * @param filter which events are wanted; the others are passed over and do not count
   */
  public EventPage page(long after, int limit, EventFilter filter) {
    checkArgument(limit >= 1, "limit is below 1: %s", limit);
    requireNonNull(filter, "filter");
    // Read before the number: whoever takes a later number also takes a later stamp.
    long now = clock.now();
    long last = lastSequence.get();
    // A number past the end is one of an earlier incarnation: begin anew.
    long from = after < 0 || after > last ? 0 : after;
    long oldest = Math.max(0, last - ring.length());
    long lost = Math.max(0, oldest - from);
    long next = Math.max(from, oldest);
    List<TimedEvent> events = new ArrayList<>();
    while (next < last && events.size() < limit) {
      TimedEvent found = ring.get(slot(next + 1));
      if (found == null || found.sequence() < next + 1) {
        // Its author has the number but has not stored the event yet; the next page has it.
        break;
      }
      next++;
      if (found.sequence() > next) {
        lost++;
      } else if (filter.matches(found.event())) {
        events.add(found);
      }
    }
    long asOf = next == last ? now : 0;
    return new EventPage(process, incarnation, next, lost, asOf, events);
  }

  private int slot(long sequence) {
    return (int) (sequence & mask);
  }
}
