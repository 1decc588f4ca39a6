/**
 * The platform over HTTP: its log service and its workers, as the core's interfaces.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.platform.PlatformClient} to make the client that both
 * share. Nothing that the platform answers makes these classes throw: whatever is broken, too long
 * or of the wrong type becomes a {@link io.marigoldsail.error.Failure}.
 */
package io.marigoldsail.daemon.platform;
