package io.marigoldsail.cli;

import io.marigoldsail.timeline.TimedEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Puts the events of repeated reads into one causal order.
 *
 * <p>Processes are read one after the other, so a read may hold an effect and miss its cause, which
 * was recorded after its process was read. Printed at once, the cause would follow its effect.
 * Every process says with its events up to which stamp it has told all; an event is held until all
 * of them have told all up to its own. Not safe for use by several threads.
 */
final class CausalEventMerger {
  private List<TimedEvent> pending = new ArrayList<>();

  /**
   * Takes what a read gave and returns what may be shown by now, in causal order.
   *
   * @param completeUpTo the stamp up to which all events of all processes have been read
   */
  List<TimedEvent> add(List<TimedEvent> read, long completeUpTo) {
    pending.addAll(read);
    Collections.sort(pending);
    int ready = 0;
    while (ready < pending.size() && pending.get(ready).stamp() <= completeUpTo) {
      ready++;
    }
    List<TimedEvent> shown = List.copyOf(pending.subList(0, ready));
    pending = new ArrayList<>(pending.subList(ready, pending.size()));
    return shown;
  }

  /** Returns what is still held, in causal order. */
  List<TimedEvent> flush() {
    return add(List.of(), Long.MAX_VALUE);
  }
}
