/**
 * HTTP clients of the platform's log service and workers, which implement the core's interfaces.
 *
 * <p>{@link io.marigoldsail.daemon.platform.PlatformClient} is the HTTP client that both share. No
 * response of the platform makes these classes throw: a response that is malformed, too large or of
 * the wrong type becomes a {@link io.marigoldsail.error.Failure}.
 */
package io.marigoldsail.daemon.platform;
