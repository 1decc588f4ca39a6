package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * An event with its position on the event timeline.
 *
 * <p>Immutable. Ordered by stamp, which follows causality. Events with equal stamps are causally
 * unrelated and are ordered by process, so that every reader sees the same order.
 *
 * @param sequence the event's sequence number in its process, from 1
 * @param stamp the reading of the process's {@link HybridClock}
 * @param process the process's name
 * @param event the event
 */
public record TimedEvent(long sequence, long stamp, String process, Event event)
    implements Comparable<TimedEvent> {
  private static final Comparator<TimedEvent> CAUSAL_ORDER =
      Comparator.comparingLong(TimedEvent::stamp)
          .thenComparing(TimedEvent::process)
          .thenComparingLong(TimedEvent::sequence);

  /** Checks the components. */
  public TimedEvent {
    requireNonNull(process, "process");
    requireNonNull(event, "event");
  }

  @Override
  public int compareTo(TimedEvent other) {
    return CAUSAL_ORDER.compare(this, other);
  }
}
