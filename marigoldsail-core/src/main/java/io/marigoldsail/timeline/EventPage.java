package io.marigoldsail.timeline;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Consecutive events of one process.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param process the process's name
 * @param incarnation the stamp of the process's start; a different one means that the process
 *     restarted and its sequence numbers start again
 * @param next the {@code after} of the next page
 * @param lost the number of events that were overwritten before they were read
 * @param asOf a lower bound of the stamps of all events that are not in this page; 0 if the page
 *     ended before the newest event
 * @param events the events that match the filter, by ascending sequence number
 */
public record EventPage(
    String process, long incarnation, long next, long lost, long asOf, List<TimedEvent> events) {
  /** Checks and copies the components. */
  public EventPage {
    requireNonNull(process, "process");
    events = List.copyOf(events);
  }
}
