package io.marigoldsail.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Optional;

/**
 * What an entry says of itself in the stream {@code members}.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param name the entry's name
 * @param incarnation this start of it; a later one is higher
 * @param zone its availability zone
 * @param processesAddress where side processes dial in, host:port
 * @param operatorsAddress where operators reach it, host:port
 * @param revision the configuration revision in force in it
 * @param draining whether it is in a planned stop
 * @param removed whether this is the last that is heard of it
 */
public record EntryPresence(
    String name,
    long incarnation,
    String zone,
    String processesAddress,
    String operatorsAddress,
    long revision,
    boolean draining,
    boolean removed) {
  /** The type of its log entries. */
  public static final String TYPE = "entry-presence";

  /** Checks the components. */
  public EntryPresence {
    checkArgument(!name.isEmpty(), "name is empty");
    requireNonNull(zone, "zone");
    requireNonNull(processesAddress, "processesAddress");
    requireNonNull(operatorsAddress, "operatorsAddress");
  }

  /** Returns the body of a log entry. */
  public JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("name", name)
        .put("incarnation", incarnation)
        .put("zone", zone)
        .put("processes", processesAddress)
        .put("operators", operatorsAddress)
        .put("revision", revision)
        .put("leaving", draining)
        .put("gone", removed);
  }

  /** Returns what a log entry's body says, or empty if it is no presence. */
  public static Optional<EntryPresence> fromJson(JsonNode body) {
    String name = body.path("name").asText("");
    boolean sound = !name.isEmpty() && body.path("incarnation").canConvertToLong();
    if (!sound || !body.path("processes").isTextual()) {
      return Optional.empty();
    }
    return Optional.of(
        new EntryPresence(
            name,
            body.path("incarnation").longValue(),
            body.path("zone").asText(""),
            body.path("processes").textValue(),
            body.path("operators").asText(""),
            body.path("revision").asLong(),
            body.path("leaving").asBoolean(),
            body.path("gone").asBoolean()));
  }
}
