package io.marigoldsail.configuration;

/**
 * The result of a successful publish.
 *
 * @param revision the revision to wait for: the created one, or the current one if nothing changed
 * @param changed false if the file already had this content
 * @param attempts the number of appended records; more than one after conflicts with other files
 */
public record PublishResult(long revision, boolean changed, int attempts) {}
