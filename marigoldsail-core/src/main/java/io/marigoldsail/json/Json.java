package io.marigoldsail.json;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
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

/**
 * The one way in which this system reads and writes JSON.
 *
 * <p>Strict: doubled keys and anything after the document are errors, because a reader that takes
 * the last of two values hides an operator's slip. Safe for any thread.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
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
   * Reads one document.
   *
   * @param origin the file or peer that the bytes came from, named in the failure
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
      return Result.failed(ErrorKind.BAD_REQUEST, origin + ": unreadable: " + e.getMessage());
    }
  }

  /** Returns the document in one line. */
  public static String write(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the document over several lines, for people. */
  public static String writePretty(JsonNode node) {
    try {
      return PRETTY.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the document in UTF-8, in one line. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
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
