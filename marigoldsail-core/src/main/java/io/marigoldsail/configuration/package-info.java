/**
 * The shared configuration: a base and an overlay for each site, one revision for all.
 *
 * <p>Reach for {@link io.marigoldsail.configuration.Configuration} to read what is in force, for
 * {@link io.marigoldsail.configuration.ConfigurationFold} to follow the log's stream, and for
 * {@link io.marigoldsail.configuration.ConfigurationPublisher} to change a file.
 *
 * <p>How it never reverts: a record names the revision it was checked against, and every process
 * accepts it only if that is still its current one. The log orders the records, so all processes
 * accept the same ones, and reading old ones again changes nothing.
 */
package io.marigoldsail.configuration;
