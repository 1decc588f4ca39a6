package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Some consecutive events of one process, as read by a follower of the time line.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param process the process's name
 * @param incarnation the stamp of the process's start; another one means that it began anew and its
 *     numbers start again
 * @param next the number to ask for next: the {@code after} of the next page
 * @param lost how many events gave way to newer ones before they were read
 * @param asOf a stamp below that of every event which this page has not; 0 if the page ended before
 *     the newest event
 * @param events the wanted ones, by ascending number
 */
public record EventPage(
    String process, long incarnation, long next, long lost, long asOf, List<TimedEvent> events) {
  /** Checks and copies the components. */
  public EventPage {
    requireNonNull(process, "process");
    events = List.copyOf(events);
  }
}
