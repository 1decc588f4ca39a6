package io.marigoldsail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.settings.HostPort;
import io.marigoldsail.timeline.EventFilter;
import io.marigoldsail.timeline.EventJson;
import io.marigoldsail.timeline.EventPage;
import io.marigoldsail.timeline.TimedEvent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Reads the events of all processes and merges them in causal order.
 *
 * <p>A process that does not answer is told of and passed over: its last decisions are in the log
 * and in the events of the others. Not safe for use by several threads.
 */
final class TimelineReader {
  private static final int PAGE_SIZE = 2_000;

  private record Position(long incarnation, long next) {}

  private final OperatorClient client;
  private final EventFilter filter;
  private final Consumer<String> warnings;
  private final Map<String, Position> positions = new HashMap<>();
  private final Map<String, Long> completeUpTo = new HashMap<>();

  TimelineReader(OperatorClient client, EventFilter filter, Consumer<String> warnings) {
    this.client = client;
    this.filter = filter;
    this.warnings = warnings;
  }

  /** Returns all events that were not returned before, in causal order. */
  List<TimedEvent> readNew() {
    List<TimedEvent> events = new ArrayList<>();
    Map<String, HostPort> processes = processes();
    completeUpTo.keySet().retainAll(processes.keySet());
    processes.forEach((process, address) -> readProcess(process, address, events));
    Collections.sort(events);
    return events;
  }

  /** Returns the stamp up to which all processes that answer have told all of their events. */
  long completeUpTo() {
    return completeUpTo.values().stream().mapToLong(stamp -> stamp).min().orElse(Long.MAX_VALUE);
  }

  private Map<String, HostPort> processes() {
    JsonNode members = ConnectionOptions.valueOrThrow(client.get("/members")).path("processes");
    Map<String, HostPort> processes = new TreeMap<>();
    for (JsonNode member : members) {
      HostPort.parse(member.path("operators").asText())
          .ifPresent(address -> processes.put(member.path("process").asText(), address));
    }
    return processes;
  }

  private void readProcess(String process, HostPort address, List<TimedEvent> events) {
    boolean more = true;
    while (more) {
      Position place = positions.getOrDefault(process, new Position(0, 0));
      String route =
          "/events?after=" + place.next() + "&limit=" + PAGE_SIZE + FilterOptions.query(filter);
      Result<EventPage> answer =
          client.sendTo(address, "GET", route, Optional.empty()).then(EventJson::read);
      if (answer instanceof Result.Failed<EventPage> failed) {
        warnings.accept("no events of " + process + ": " + failed.failure().detail());
        completeUpTo.remove(process);
        return;
      }
      EventPage page = answer.value();
      boolean anew = place.incarnation() != 0 && place.incarnation() != page.incarnation();
      if (anew && place.next() != 0) {
        // Numbers of the earlier incarnation mean nothing to this one: read it from its start.
        positions.put(process, new Position(page.incarnation(), 0));
        continue;
      }
      // What gave way before the first read is no loss of this reader.
      if (page.lost() > 0 && place.next() > 0) {
        warnings.accept(page.lost() + " events of " + process + " gave way before being read");
      }
      positions.put(process, new Position(page.incarnation(), page.next()));
      completeUpTo.merge(process, page.asOf(), Math::max);
      events.addAll(page.events());
      more = page.events().size() == PAGE_SIZE;
    }
  }
}
