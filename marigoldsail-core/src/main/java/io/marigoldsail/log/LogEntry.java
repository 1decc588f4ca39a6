package io.marigoldsail.log;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One entry of a stream, at the position where it takes effect.
 *
 * @param position the position in the stream
 * @param id the id assigned by its writer; see {@link EntryIdGenerator}
 * @param type the entry type, interpreted by the fold
 * @param body the content; not copied, must not be changed
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
