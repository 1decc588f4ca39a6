package io.marigoldsail.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.OptionalLong;

/**
 * Reads and writes JSON for the whole system.
 *
 * <p>Parsing is strict: duplicate keys and trailing content are errors, because accepting the last
 * of two values would hide an operator's mistake. So is nesting deeper than {@value #MAX_DEPTH}.
 * Safe for any thread.
 */
public final class Json {
  /** Deeper documents are rejected: reading or writing one may exhaust the stack of a thread. */
  static final int MAX_DEPTH = 128;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final ObjectWriter PRETTY = MAPPER.writerWithDefaultPrettyPrinter();

  private Json() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns the shared mapper; callers must not change its configuration. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Parses one document.
   *
   * @param origin the file or peer that provided the bytes, named in the failure
   * @param bytes the document in UTF-8
   * @return the document, or a failure of kind {@code BAD_REQUEST} in one line with line and column
   */
  public static Result<JsonNode> parse(String origin, byte[] bytes) {
    try {
      JsonNode node = MAPPER.readTree(bytes);
      if (node == null || node.isMissingNode()) {
        return Result.failed(ErrorKind.BAD_REQUEST, origin + ": no JSON document, it is empty");
      }
      return Result.ok(node);
    } catch (JsonProcessingException e) {
      return Result.failed(ErrorKind.BAD_REQUEST, origin + ": not JSON: " + oneLine(e));
    } catch (IOException e) {
      return Result.failed(ErrorKind.BAD_REQUEST, origin + ": cannot be read: " + e.getMessage());
    }
  }

  /** Returns the document on one line. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the document on several lines, for people. */
  public static String writePretty(JsonNode node) {
    try {
      return PRETTY.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the document in UTF-8, on one line. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the value of a whole number within the range; empty for any other node, also for a
   * number with a fraction or an exponent, and for a missing one.
   */
  public static OptionalLong wholeNumber(JsonNode node, long min, long max) {
    boolean fits = node.isIntegralNumber() && node.canConvertToLong();
    return fits && min <= node.longValue() && node.longValue() <= max
        ? OptionalLong.of(node.longValue())
        : OptionalLong.empty();
  }

  private static String oneLine(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    String message = e.getOriginalMessage().lines().findFirst().orElse("");
    if (location == null) {
      return message;
    }
    return message + " at line " + location.getLineNr() + ", column " + location.getColumnNr();
  }
}
