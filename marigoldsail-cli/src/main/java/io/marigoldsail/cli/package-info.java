/**
 * The operators' command-line tool.
 *
 * <p>It sends requests to the operators' address of any entry. Scripts may rely on the exit codes
 * in {@link io.marigoldsail.cli.ExitCode}, a closed set.
 */
package io.marigoldsail.cli;
