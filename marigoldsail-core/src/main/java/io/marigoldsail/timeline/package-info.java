/**
 * The time line: what happened in every process, on one line in causal order.
 *
 * <p>Reach for {@link io.marigoldsail.timeline.EventRecorder} to tell of something that happened.
 */
package io.marigoldsail.timeline;
