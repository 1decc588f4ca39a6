/**
 * Reads collected logs of all processes and tells the life of one workflow or task from them.
 *
 * <p>Reach for {@link io.marigoldsail.cli.logs.LogEntry} to read a line, and for {@link
 * io.marigoldsail.cli.logs.CausalLogSorter} to put the lines of one subject in order.
 */
package io.marigoldsail.cli.logs;
