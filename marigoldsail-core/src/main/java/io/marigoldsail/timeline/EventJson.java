package io.marigoldsail.timeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import io.marigoldsail.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Converts pages of events to and from JSON, as returned by {@code GET /events}.
 *
 * <p>Empty fields of an event are omitted. Stateless, safe for any thread.
 */
public final class EventJson {
  private EventJson() {}

  /** Returns the page as JSON. */
  public static ObjectNode write(EventPage page) {
    ObjectNode node = Json.object();
    node.put("process", page.process());
    node.put("incarnation", page.incarnation());
    node.put("next", page.next());
    node.put("lost", page.lost());
    node.put("asOf", page.asOf());
    ArrayNode events = node.putArray("events");
    page.events().forEach(event -> events.add(write(event)));
    return node;
  }

  /** Returns one event as JSON. */
  public static ObjectNode write(TimedEvent timed) {
    Event event = timed.event();
    ObjectNode node = Json.object();
    node.put("sequence", timed.sequence());
    node.put("stamp", timed.stamp());
    node.put("process", timed.process());
    node.put("kind", event.kind().code());
    putIfPresent(node, "request", event.request());
    putIfPresent(node, "task", event.task());
    putIfPresent(node, "vm", event.vm());
    putIfPresent(node, "team", event.team());
    putIfPresent(node, "caller", event.caller());
    putIfPresent(node, "detail", event.detail());
    return node;
  }

  /**
   * Reads a page. Events of an unknown kind are skipped, since a newer process may record more
   * kinds.
   */
  public static Result<EventPage> read(JsonNode node) {
    if (!node.path("process").isTextual() || !node.path("events").isArray()) {
      return Result.failed(
          ErrorKind.BAD_REQUEST, "events: not a page of events; process or events is missing");
    }
    String process = node.get("process").asText();
    List<TimedEvent> events = new ArrayList<>();
    for (JsonNode item : node.get("events")) {
      readEvent(process, item).ifPresent(events::add);
    }
    return Result.ok(
        new EventPage(
            process,
            node.path("incarnation").asLong(),
            node.path("next").asLong(),
            node.path("lost").asLong(),
            node.path("asOf").asLong(),
            events));
  }

  private static Optional<TimedEvent> readEvent(String process, JsonNode node) {
    return EventKind.forCode(node.path("kind").asText())
        .map(
            kind ->
                new Event(
                    kind,
                    node.path("request").asText(),
                    node.path("task").asText(),
                    node.path("vm").asText(),
                    node.path("team").asText(),
                    node.path("caller").asText(),
                    node.path("detail").asText()))
        .map(
            event ->
                new TimedEvent(
                    node.path("sequence").asLong(), node.path("stamp").asLong(), process, event));
  }

  private static void putIfPresent(ObjectNode node, String key, String value) {
    if (!value.isEmpty()) {
      node.put(key, value);
    }
  }
}
