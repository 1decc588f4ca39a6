package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One effective value and where it comes from.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param key the path of keys with dots between them
 * @param value the value
 * @param source the file that set it, or {@value #DEFAULT}
 */
public record EffectiveValue(String key, JsonNode value, String source) {
  /** The source of values that no file sets. */
  public static final String DEFAULT_SOURCE = "default";

  /** Checks the components. */
  public EffectiveValue {
    requireNonNull(key, "key");
    requireNonNull(value, "value");
    requireNonNull(source, "source");
  }
}
