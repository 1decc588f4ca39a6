package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Change of one effective value at one site by a publish.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param key the path of keys, separated by dots
 * @param before the current value
 * @param beforeSource the file that sets it now, or {@code default}
 * @param after the value after the publish
 * @param afterSource the file that would set it, or {@code default}
 */
public record ConfigurationChange(
    String key, JsonNode before, String beforeSource, JsonNode after, String afterSource) {
  /** Checks the components. */
  public ConfigurationChange {
    requireNonNull(key, "key");
    requireNonNull(before, "before");
    requireNonNull(beforeSource, "beforeSource");
    requireNonNull(after, "after");
    requireNonNull(afterSource, "afterSource");
  }
}
