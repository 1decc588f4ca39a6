package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.log.EntryIdGenerator.Parts;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells a stream's new entries from copies, by the highest sequence number of each writer so far.
 *
 * <p>A copy arises when the answer to an append is lost and the writer appends again, or when the
 * log stores a record twice; it may turn up any time later. A window of the last ids would count a
 * copy again that comes after the window has moved on. A writer's mark never moves back, so however
 * late a copy comes it is dropped; and since the rule looks at the stream alone, each reader drops
 * the same ones. An entry that a writer gave up counts only if it stands before all later ones of
 * that writer.
 *
 * <p>Bounded: of more than {@value #MAX_WRITERS} writers the one that has been silent longest in
 * the stream is forgotten, by every reader at the same place. A writer is one life of an entry; at
 * 70 replaced processes a day that many are weeks of silence, and a copy is minutes late. Confined
 * to one thread.
 */
final class WriterSequences {
  static final int MAX_WRITERS = 1_024;

  /** By writer, the longest silent one first. */
  private final LinkedHashMap<String, Long> sequences = new LinkedHashMap<>(16, 0.75f, true);

  WriterSequences() {}

  /** Returns whether the entry counts, and keeps its number if so. */
  boolean accept(Parts id) {
    Long mark = sequences.get(id.writerId());
    if (mark != null && id.sequence() <= mark) {
      return false;
    }
    sequences.put(id.writerId(), id.sequence());
    if (sequences.size() > MAX_WRITERS) {
      sequences.remove(sequences.keySet().iterator().next());
    }
    return true;
  }

  /** Returns the highest number of a writer so far, or 0. */
  long lastSequence(String writer) {
    for (Map.Entry<String, Long> mark : sequences.entrySet()) {
      if (mark.getKey().equals(writer)) {
        return mark.getValue();
      }
    }
    return 0;
  }

  int size() {
    return sequences.size();
  }

  /** Returns the marks with their order, which decides who is forgotten next. */
  JsonNode toJson() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    sequences.forEach((writer, mark) -> all.addArray().add(writer).add(mark));
    return all;
  }

  /**
   * Returns the marks that {@link #toJson} described.
   *
   * @throws IllegalArgumentException if the node does not describe any
   */
  static WriterSequences fromJson(JsonNode all) {
    checkArgument(all.isArray() && all.size() <= MAX_WRITERS, "no marks of writers");
    WriterSequences restored = new WriterSequences();
    for (JsonNode pair : all) {
      boolean good = pair.size() == 2 && pair.get(0).isTextual() && pair.get(1).isIntegralNumber();
      checkArgument(good, "no mark of a writer: %s", pair);
      restored.sequences.put(pair.get(0).textValue(), pair.get(1).longValue());
    }
    return restored;
  }
}
