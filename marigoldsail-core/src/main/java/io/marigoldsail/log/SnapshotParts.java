package io.marigoldsail.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * Splits snapshots into entries that fit a platform record, and puts them together again.
 *
 * <p>A part is {@code {"snapshot":ID,"through":N,"part":I,"parts":N,"data":BASE64}}; the data
 * together are the gzipped JSON of a {@link StreamSnapshot}. Parts of several snapshots may
 * interleave and repeat. An instance collects parts; it holds at most {@value #MAX_OPEN} unfinished
 * snapshots, and is confined to one thread.
 */
final class SnapshotParts {
  static final String TYPE = "snapshot-part";

  private static final int MAX_PARTIAL_SNAPSHOTS = 4;
  private static final int MAX_PARTS = 1_024;
  private static final int MAX_PART_BYTES = 128 << 10;
  private static final int MAX_SNAPSHOT_BYTES = 128 << 20;
  private static final JsonMapper MAPPER = new JsonMapper();

  /** What is known of a snapshot after one of its parts was seen. */
  record PartResult(long nextOffset, boolean complete, Optional<StreamSnapshot> snapshot) {}

  private static final class PartialSnapshot {
    private final String[] parts;
    private int missing;

    private PartialSnapshot(int count) {
      this.parts = new String[count];
      this.missing = count;
    }
  }

  private final Map<String, PartialSnapshot> partialSnapshots = new LinkedHashMap<>();

  SnapshotParts() {}

  /** Returns the bodies of the parts of a snapshot. */
  static List<JsonNode> split(StreamSnapshot snapshot, String id) {
    byte[] bytes = compress(snapshot);
    int count = (bytes.length + MAX_PART_BYTES - 1) / MAX_PART_BYTES;
    List<JsonNode> parts = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int from = i * MAX_PART_BYTES;
      byte[] piece = Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + MAX_PART_BYTES));
      parts.add(
          JsonNodeFactory.instance
              .objectNode()
              .put("snapshot", id)
              .put("through", snapshot.nextOffset())
              .put("part", i)
              .put("parts", count)
              .put("data", Base64.getEncoder().encodeToString(piece)));
    }
    return parts;
  }

  /**
   * Takes a part in, or returns empty if it makes no sense.
   *
   * @param keep whether the caller wants the snapshot; else only its completeness is told
   */
  Optional<PartResult> add(JsonNode body, boolean keep) {
    String id = body.path("snapshot").asText();
    int count = body.path("parts").asInt();
    int part = body.path("part").asInt(-1);
    boolean sound = !id.isEmpty() && count > 0 && count <= MAX_PARTS && part >= 0 && part < count;
    if (!sound || !body.path("through").canConvertToLong() || !body.path("data").isTextual()) {
      return Optional.empty();
    }
    long through = body.path("through").longValue();
    PartialSnapshot collecting =
        partialSnapshots.computeIfAbsent(id, unused -> new PartialSnapshot(count));
    if (collecting.parts.length != count) {
      return Optional.empty();
    }
    if (collecting.parts[part] == null) {
      collecting.parts[part] = keep ? body.path("data").textValue() : "";
      collecting.missing--;
    }
    if (collecting.missing > 0) {
      evictOldest();
      return Optional.of(new PartResult(through, false, Optional.empty()));
    }
    partialSnapshots.remove(id);
    return keep
        ? assemble(collecting, through)
        : Optional.of(new PartResult(through, true, Optional.empty()));
  }

  /** Forgets what was collected, such as parts whose data were not kept. */
  void clear() {
    partialSnapshots.clear();
  }

  private void evictOldest() {
    if (partialSnapshots.size() > MAX_PARTIAL_SNAPSHOTS) {
      partialSnapshots.remove(partialSnapshots.keySet().iterator().next());
    }
  }

  private static Optional<PartResult> assemble(PartialSnapshot collected, long through) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      for (String data : collected.parts) {
        bytes.writeBytes(Base64.getDecoder().decode(data));
      }
      StreamSnapshot snapshot = decompress(bytes.toByteArray());
      return snapshot.nextOffset() == through
          ? Optional.of(new PartResult(through, true, Optional.of(snapshot)))
          : Optional.empty();
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] compress(StreamSnapshot snapshot) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      MAPPER.writeValue(gzip, snapshot.toJson());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static StreamSnapshot decompress(byte[] bytes) throws IOException {
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
      // A small record must not be able to fill the memory by expanding without end.
      byte[] expanded = gzip.readNBytes(MAX_SNAPSHOT_BYTES + 1);
      if (expanded.length > MAX_SNAPSHOT_BYTES) {
        throw new IOException("snapshot exceeds " + MAX_SNAPSHOT_BYTES + " bytes");
      }
      return StreamSnapshot.fromJson(MAPPER.readTree(expanded));
    } catch (JsonProcessingException e) {
      throw new IOException("snapshot is no JSON", e);
    }
  }
}
