/**
 * The open-loop load tool.
 *
 * <p>Requests leave at their planned times whether or not earlier ones were answered, and latency
 * counts from the planned time: a system that stalls cannot slow the tool down and so hide how long
 * callers would have waited (coordinated omission).
 */
package io.marigoldsail.cli.load;
