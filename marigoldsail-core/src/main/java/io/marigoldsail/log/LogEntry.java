package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One entry of a stream, at the place where it counts.
 *
 * @param position where it stands
 * @param id its writer's id for it; see {@link EntryIdGenerator}
 * @param type what it means to the fold
 * @param body its content; not copied, must not be changed
 */
public record LogEntry(Position position, String id, String type, JsonNode body) {
  /** Checks the components. */
  public LogEntry {
    requireNonNull(position, "position");
    requireNonNull(id, "id");
    requireNonNull(type, "type");
    requireNonNull(body, "body");
  }
}
