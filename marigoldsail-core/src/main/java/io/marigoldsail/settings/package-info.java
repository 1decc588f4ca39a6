/**
 * What one process is told on start: its name, place, addresses and neighbours.
 *
 * <p>Reach for {@link io.marigoldsail.settings.SettingsReader} to read a file. Settings differ from
 * configuration: they belong to one process and never change while it runs.
 */
package io.marigoldsail.settings;
