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
 * <p>A process that does not respond is skipped with a warning: its last decisions are in the log
 * and in the events of other processes. Not thread-safe.
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

  /**
   * Returns the timestamp up to which all responding processes have reported all of their events.
   */
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
      Position position = positions.getOrDefault(process, new Position(0, 0));
      String route =
          "/events?after=" + position.next() + "&limit=" + PAGE_SIZE + FilterOptions.query(filter);
      Result<EventPage> response =
          client.sendTo(address, "GET", route, Optional.empty()).then(EventJson::read);
      if (response instanceof Result.Failed<EventPage> failed) {
        warnings.accept("no events of " + process + ": " + failed.failure().detail());
        completeUpTo.remove(process);
        return;
      }
      EventPage page = response.value();
      boolean restarted =
          position.incarnation() != 0 && position.incarnation() != page.incarnation();
      if (restarted && position.next() != 0) {
        // Event numbers restart with each incarnation, so read the new one from its beginning.
        positions.put(process, new Position(page.incarnation(), 0));
        continue;
      }
      // Events evicted before the first read are not lost by this reader.
      if (page.lost() > 0 && position.next() > 0) {
        warnings.accept(page.lost() + " events of " + process + " gave way before being read");
      }
      positions.put(process, new Position(page.incarnation(), page.next()));
      completeUpTo.merge(process, page.asOf(), Math::max);
      events.addAll(page.events());
      more = page.events().size() == PAGE_SIZE;
    }
  }
}
