package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * All that a reader has to know to go on from an offset as if it had read everything before.
 *
 * <p>Immutable as long as the nodes are left alone. Carries the marks of writers besides the fold's
 * state: without them a reader that starts here would count a late copy that others drop.
 *
 * @param nextOffset the offset to read on from
 * @param writerSequences the marks of writers, as {@code WriterSequences} describes them
 * @param state the fold's state
 */
public record StreamSnapshot(long nextOffset, JsonNode writerSequences, JsonNode state) {
  /** Checks the components. */
  public StreamSnapshot {
    checkArgument(nextOffset >= 0, "through is negative: %s", nextOffset);
    requireNonNull(writerSequences, "writers");
    requireNonNull(state, "state");
  }

  /** Returns this as one JSON object, as {@link #fromJson} takes it. */
  public JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("v", RecordCodec.VERSION)
        .put("through", nextOffset)
        .<ObjectNode>set("writers", writerSequences)
        .set("state", state);
  }

  /**
   * Returns the snapshot that a node describes.
   *
   * @throws IllegalArgumentException if it describes none, or one of a newer version
   */
  public static StreamSnapshot fromJson(JsonNode node) {
    checkArgument(node.path("v").asLong() == RecordCodec.VERSION, "not a snapshot of version 1");
    checkArgument(node.path("through").canConvertToLong(), "snapshot without through");
    checkArgument(node.has("state"), "snapshot without state");
    return new StreamSnapshot(
        node.path("through").longValue(), node.path("writers"), node.path("state"));
  }
}
