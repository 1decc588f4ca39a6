package io.marigoldsail.configuration;

/**
 * An accepted publish.
 *
 * @param revision the revision to wait for: the one made, or the present one if nothing changed
 * @param changed false if the file had this content already
 * @param attempts how many records it took; more than one after losing races to other files
 */
public record PublishResult(long revision, boolean changed, int attempts) {}
