package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * An operator's request to publish a file.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param file {@code base} or a site
 * @param content the complete new content of the file
 * @param author who publishes
 * @param note the reason for the change; may be empty
 * @param expectedRevision the revision of the file that the operator edited; if present and the
 *     file has changed since, the publish fails with a conflict
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
