/**
 * Settings of one process: its name, location, addresses and peers.
 *
 * <p>Use {@link io.marigoldsail.settings.SettingsReader} to read a file. Unlike the configuration,
 * settings belong to one process and never change while it runs.
 */
package io.marigoldsail.settings;
