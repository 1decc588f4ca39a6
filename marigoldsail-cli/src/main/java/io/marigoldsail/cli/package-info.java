/**
 * The operators' command-line tool.
 *
 * <p>It asks any entry at its operators' address; {@link io.marigoldsail.cli.ExitCode} is the
 * closed list of what a script may rely on.
 */
package io.marigoldsail.cli;
