package io.marigoldsail.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Turns batches of entries into platform records and back.
 *
 * <p>A record is {@code {"v":1,"entries":[{"id":...,"type":...,"body":...}]}}. Unknown fields pass.
 * Nothing that a record holds makes {@link #decode} throw.
 */
final class RecordCodec {
  /** Why a record, or an entry of one, was passed over. */
  enum SkipReason {
    /** The bytes are no JSON object. */
    NOT_JSON,
    /** The record is of a version that this software does not know. */
    NEWER_VERSION,
    /** The record, or an entry of it, has not the fields that it must have. */
    MALFORMED,
    /** The fold threw on the entry. */
    REFUSED_BY_FOLD
  }

  /** An entry as it stands in a record. */
  record RawEntry(int index, String id, EntryIdGenerator.Parts parts, String type, JsonNode body) {}

  /** What a record holds: good entries, and why others were passed over. */
  record Decoded(List<RawEntry> entries, List<SkipReason> skips) {}

  static final int VERSION = 1;

  private static final int MAX_NESTING_DEPTH = 100;
  private static final byte[] RECORD_PREFIX = ascii("{\"v\":" + VERSION + ",\"entries\":[");
  private static final byte[] RECORD_SUFFIX = ascii("]}");

  private static final JsonMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private RecordCodec() {}

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns one entry as JSON, to be put into a record by {@link #encodeRecord}. */
  static byte[] encodeEntry(String id, String type, JsonNode body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = MAPPER.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeStringField("id", id);
      json.writeStringField("type", type);
      json.writeFieldName("body");
      MAPPER.writeTree(json, body);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /** Returns a record of entries that {@link #encodeEntry} made. */
  static byte[] encodeRecord(List<byte[]> entries) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(RECORD_PREFIX);
    for (int i = 0; i < entries.size(); i++) {
      if (i > 0) {
        bytes.write(',');
      }
      bytes.writeBytes(entries.get(i));
    }
    bytes.writeBytes(RECORD_SUFFIX);
    return bytes.toByteArray();
  }

  /** Returns how much longer a record is than its entries, at most. */
  static int overheadBytes(int entries) {
    return RECORD_PREFIX.length + RECORD_SUFFIX.length + entries;
  }

  static Decoded decode(byte[] record) {
    JsonNode root;
    try {
      root = MAPPER.readTree(record);
    } catch (JsonProcessingException e) {
      return skippedRecord(SkipReason.NOT_JSON);
    } catch (IOException | RuntimeException e) {
      return skippedRecord(SkipReason.NOT_JSON);
    }
    if (root == null || !root.isObject()) {
      return skippedRecord(SkipReason.NOT_JSON);
    }
    JsonNode version = root.path("v");
    if (version.isIntegralNumber() && version.asLong() > VERSION) {
      return skippedRecord(SkipReason.NEWER_VERSION);
    }
    if (version.asLong() != VERSION || !root.path("entries").isArray()) {
      return skippedRecord(SkipReason.MALFORMED);
    }
    return decodeEntries(root.path("entries"));
  }

  private static Decoded decodeEntries(JsonNode array) {
    List<RawEntry> entries = new ArrayList<>(array.size());
    List<SkipReason> skips = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      JsonNode entry = array.get(i);
      var parts = EntryIdGenerator.parse(entry.path("id").asText());
      if (parts.isEmpty() || !entry.path("type").isTextual() || !entry.has("body")) {
        skips.add(SkipReason.MALFORMED);
        continue;
      }
      String id = entry.path("id").textValue();
      if (id == null) {
        skips.add(SkipReason.MALFORMED);
        continue;
      }
      entries.add(
          new RawEntry(i, id, parts.get(), entry.path("type").textValue(), entry.path("body")));
    }
    return new Decoded(entries, skips);
  }

  private static Decoded skippedRecord(SkipReason reason) {
    return new Decoded(List.of(), List.of(reason));
  }
}
