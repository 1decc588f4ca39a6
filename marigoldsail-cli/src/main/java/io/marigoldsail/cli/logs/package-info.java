/**
 * Reads collected logs of all processes and reconstructs the history of a workflow or task.
 *
 * <p>{@link io.marigoldsail.cli.logs.LogEntry} parses a line; {@link
 * io.marigoldsail.cli.logs.CausalLogSorter} sorts the lines of one subject.
 */
package io.marigoldsail.cli.logs;
