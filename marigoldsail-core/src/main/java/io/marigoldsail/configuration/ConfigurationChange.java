package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a publish would change of one effective value at one site.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param key the path of keys with dots between them
 * @param before the value now
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
