package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;

/**
 * An event with its place on the time line.
 *
 * <p>Immutable. Ordered by stamp, which follows cause and effect; events of equal stamp have no
 * cause in common and are ordered by process, so that every reader sees one order.
 *
 * @param sequence the event's number in its process, from 1
 * @param stamp the reading of the process's {@link HybridClock}
 * @param process the process's name
 * @param event what happened
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
