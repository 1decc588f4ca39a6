/**
 * The event timeline: events of all processes in causal order.
 *
 * <p>Use {@link io.marigoldsail.timeline.EventRecorder} to record an event, {@link
 * io.marigoldsail.timeline.EventBuffer} to store events, and {@link
 * io.marigoldsail.timeline.HybridClock} to stamp messages between processes.
 */
package io.marigoldsail.timeline;
