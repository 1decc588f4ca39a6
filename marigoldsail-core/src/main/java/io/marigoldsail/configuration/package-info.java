/**
 * The shared configuration: a base and an overlay for each site, with one revision for all.
 *
 * <p>Use {@link io.marigoldsail.configuration.Configuration} to read the configuration in force,
 * {@link io.marigoldsail.configuration.ConfigurationFold} to follow the log's stream, and {@link
 * io.marigoldsail.configuration.ConfigurationPublisher} to change a file.
 *
 * <p>The configuration never reverts: a record contains the revision that it was checked against,
 * and every process accepts it only if that is still the current one. The log orders the records,
 * so all processes accept the same ones, and reading old records again changes nothing.
 */
package io.marigoldsail.configuration;
