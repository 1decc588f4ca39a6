package io.marigoldsail.cli;

import io.marigoldsail.timeline.TimedEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Merges the events of repeated reads into one causal order.
 *
 * <p>Processes are read one after the other, so a read may contain an effect without its cause if
 * the cause was recorded after its process was read. To keep causes first, an event is buffered
 * until every process has reported all of its events up to the timestamp of that event. Not
 * thread-safe.
 */
final class CausalEventMerger {
  private List<TimedEvent> pending = new ArrayList<>();

  /**
   * Adds the events of a read and returns the events that are now complete, in causal order.
   *
   * @param completeUpTo the timestamp up to which all events of all processes have been read
   */
  List<TimedEvent> add(List<TimedEvent> read, long completeUpTo) {
    pending.addAll(read);
    Collections.sort(pending);
    int releasable = 0;
    while (releasable < pending.size() && pending.get(releasable).stamp() <= completeUpTo) {
      releasable++;
    }
    List<TimedEvent> released = List.copyOf(pending.subList(0, releasable));
    pending = new ArrayList<>(pending.subList(releasable, pending.size()));
    return released;
  }

  /** Returns and removes all buffered events, in causal order. */
  List<TimedEvent> flush() {
    return add(List.of(), Long.MAX_VALUE);
  }
}
