package io.marigoldsail.daemon.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Result;
import java.io.IOException;

/**
 * Strict conversion between the platform's JSON and typed values.
 *
 * <p>Unknown fields are ignored, because the platform may add fields; a missing field, a null, a
 * string for a number, or a value that a record's constructor rejects is an error.
 */
final class PlatformJson {
  private static final int MAX_DEPTH = 32;

  private static final JsonMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
                  .build())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private PlatformJson() {}

  /** Returns the decoded value, or a failure of the given kind with the reason. */
  static <T> Result<T> read(byte[] bytes, TypeReference<T> type, ErrorKind errorKind) {
    try {
      T value = MAPPER.readValue(bytes, type);
      return value == null
          ? Result.failed(errorKind, "malformed response: null")
          : Result.ok(value);
    } catch (JsonProcessingException e) {
      return Result.failed(errorKind, "malformed response: " + e.getOriginalMessage());
    } catch (IOException | RuntimeException e) {
      return Result.failed(errorKind, "malformed response: " + e.getMessage());
    }
  }

  /**
   * Returns the value as JSON.
   *
   * @throws IllegalArgumentException if the value cannot be written
   */
  static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + e.getMessage(), e);
    }
  }
}
