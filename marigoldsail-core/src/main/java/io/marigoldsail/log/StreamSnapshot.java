package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The state of a stream at an offset, sufficient to continue reading from there.
 *
 * <p>Immutable as long as the nodes are not changed. Includes the last sequence number of each
 * writer besides the fold's state: without them a reader that starts here would apply a late
 * duplicate that other readers drop.
 *
 * @param nextOffset the offset to continue reading from
 * @param writerSequences the last sequence numbers of the writers, in the format of {@code
 *     WriterSequences}
 * @param state the fold's state
 */
public record StreamSnapshot(long nextOffset, JsonNode writerSequences, JsonNode state) {
  /** Checks the components. */
  public StreamSnapshot {
    checkArgument(nextOffset >= 0, "nextOffset is negative: %s", nextOffset);
    requireNonNull(writerSequences, "writers");
    requireNonNull(state, "state");
  }

  /** Returns this as a JSON object for {@link #fromJson}. */
  public JsonNode toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("v", RecordCodec.VERSION)
        .put("through", nextOffset)
        .<ObjectNode>set("writers", writerSequences)
        .set("state", state);
  }

  /**
   * Returns the snapshot that the node represents.
   *
   * @throws IllegalArgumentException if it is not a snapshot of the supported version
   */
  public static StreamSnapshot fromJson(JsonNode node) {
    checkArgument(node.path("v").asLong() == RecordCodec.VERSION, "not a snapshot of version 1");
    checkArgument(node.path("through").canConvertToLong(), "snapshot has no integer field through");
    checkArgument(node.has("state"), "snapshot has no field state");
    return new StreamSnapshot(
        node.path("through").longValue(), node.path("writers"), node.path("state"));
  }
}
