package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * One accepted publish, as the history tells it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param revision the revision that it made
 * @param file the file that it changed
 * @param publishId the id of the try that was accepted
 * @param author who published, as the operator said
 * @param note why, as the operator said; may be empty
 * @param atMillis when the publisher's wall clock thought it was
 * @param content the file's content, absent once it is too old to be kept
 */
public record PublishedVersion(
    long revision,
    String file,
    String publishId,
    String author,
    String note,
    long atMillis,
    Optional<JsonNode> content) {
  /** Checks the components. */
  public PublishedVersion {
    requireNonNull(file, "file");
    requireNonNull(publishId, "publishId");
    requireNonNull(author, "author");
    requireNonNull(note, "note");
    requireNonNull(content, "content");
  }

  PublishedVersion withoutContent() {
    return new PublishedVersion(
        revision, file, publishId, author, note, atMillis, Optional.empty());
  }
}
