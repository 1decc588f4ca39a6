/**
 * Observability: structured logging as key=value lines, and metrics.
 *
 * <p>Use {@link io.marigoldsail.daemon.observe.EventLog} to log and {@link
 * io.marigoldsail.daemon.observe.Metrics} to register metrics. Call {@link
 * io.marigoldsail.daemon.observe.LogSetup#install} once on start.
 */
package io.marigoldsail.daemon.observe;
