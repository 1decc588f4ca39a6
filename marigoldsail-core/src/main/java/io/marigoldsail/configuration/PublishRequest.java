package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * What an operator wants published.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param file {@code base} or a site
 * @param content the file's whole new content
 * @param author who publishes
 * @param note why; may be empty
 * @param expectedRevision the revision of the file that the operator worked from; if it is given
 *     and the file has changed since, the publish conflicts
 */
public record PublishRequest(
    String file, JsonNode content, String author, String note, OptionalLong expectedRevision) {
  /** Checks the components. */
  public PublishRequest {
    requireNonNull(file, "file");
    requireNonNull(content, "content");
    requireNonNull(author, "author");
    requireNonNull(note, "note");
    requireNonNull(expectedRevision, "expectedRevision");
  }
}
