package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * An accepted publish in the history.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param revision the revision that it created
 * @param file the changed file
 * @param publishId the id of the accepted attempt
 * @param author the author given by the operator
 * @param note the reason given by the operator; may be empty
 * @param atMillis the publisher's wall clock
 * @param content the file's content, absent once it is no longer retained
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
