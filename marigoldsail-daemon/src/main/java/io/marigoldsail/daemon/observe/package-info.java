/**
 * What a process tells of itself: log lines of key=value pairs, and metrics.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.observe.EventLog} to log, for {@link
 * io.marigoldsail.daemon.observe.Metrics} to count, and call {@link
 * io.marigoldsail.daemon.observe.LogSetup#install} once on start.
 */
package io.marigoldsail.daemon.observe;
