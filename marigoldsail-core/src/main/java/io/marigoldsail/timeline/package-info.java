/**
 * The time line: what happened in every process, on one line in causal order.
 *
 * <p>Reach for {@link io.marigoldsail.timeline.EventRecorder} to tell of something that happened,
 * for {@link io.marigoldsail.timeline.EventBuffer} to keep it, and for {@link
 * io.marigoldsail.timeline.HybridClock} to stamp messages between processes.
 */
package io.marigoldsail.timeline;
