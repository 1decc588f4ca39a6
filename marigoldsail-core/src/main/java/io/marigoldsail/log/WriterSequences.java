package io.marigoldsail.log;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.marigoldsail.log.EntryIdGenerator.Parts;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects duplicate entries of a stream by the highest sequence number of each writer.
 *
 * <p>A duplicate arises when the response to an append is lost and the writer appends again, or
 * when the log stores a record twice. It may follow any time later, so a window of recent ids would
 * not suffice. The last sequence number of a writer never decreases, so a duplicate is dropped
 * however late it is, and since it depends on the stream alone, all readers drop the same entries.
 * An entry that its writer gave up takes effect only if it precedes all later entries of that
 * writer.
 *
 * <p>Keeps at most {@value #MAX_WRITERS} writers and evicts the one without an entry for longest,
 * at the same position in every reader. A writer is one incarnation of an entry process; at 70
 * replaced processes a day an evicted writer has been inactive for weeks, while duplicates are
 * minutes late. Confined to one thread.
 */
final class WriterSequences {
  static final int MAX_WRITERS = 1_024;

  /** Last sequence numbers by writer, least recently active first. */
  private final LinkedHashMap<String, Long> sequences = new LinkedHashMap<>(16, 0.75f, true);

  WriterSequences() {}

  /** Returns whether the entry is new, and records its sequence number if so. */
  boolean accept(Parts id) {
    Long last = sequences.get(id.writerId());
    if (last != null && id.sequence() <= last) {
      return false;
    }
    sequences.put(id.writerId(), id.sequence());
    if (sequences.size() > MAX_WRITERS) {
      sequences.remove(sequences.keySet().iterator().next());
    }
    return true;
  }

  /** Returns the last sequence number of a writer, or 0. */
  long lastSequence(String writer) {
    for (Map.Entry<String, Long> entry : sequences.entrySet()) {
      if (entry.getKey().equals(writer)) {
        return entry.getValue();
      }
    }
    return 0;
  }

  int size() {
    return sequences.size();
  }

  /** Returns the sequence numbers in order of activity, which decides the eviction. */
  JsonNode toJson() {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    sequences.forEach((writer, last) -> all.addArray().add(writer).add(last));
    return all;
  }

  /**
   * Returns the sequence numbers that {@link #toJson} wrote.
   *
   * @throws IllegalArgumentException if the node is invalid
   */
  static WriterSequences fromJson(JsonNode all) {
    checkArgument(
        all.isArray() && all.size() <= MAX_WRITERS, "writers is not an array, or is too long");
    WriterSequences restored = new WriterSequences();
    for (JsonNode pair : all) {
      boolean valid = pair.size() == 2 && pair.get(0).isTextual() && pair.get(1).isIntegralNumber();
      checkArgument(valid, "not a pair of writer and sequence number: %s", pair);
      restored.sequences.put(pair.get(0).textValue(), pair.get(1).longValue());
    }
    return restored;
  }
}
