/**
 * The platform's log service as this system uses it: following streams, appending exactly once.
 *
 * <p>Reach for {@link io.marigoldsail.log.LogService} to plug in a platform.
 */
package io.marigoldsail.log;
