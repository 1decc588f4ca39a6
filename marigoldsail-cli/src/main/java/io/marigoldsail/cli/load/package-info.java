/**
 * The open-loop load generator.
 *
 * <p>Requests are sent at their planned times whether or not earlier ones have completed, and
 * latency is measured from the planned time. Otherwise a stalled system would slow the generator
 * down and hide the latency that callers would have seen (coordinated omission).
 */
package io.marigoldsail.cli.load;
