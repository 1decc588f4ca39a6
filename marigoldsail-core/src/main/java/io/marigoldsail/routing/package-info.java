/**
 * Which target gets a request, and how fast that changes.
 *
 * <p>Reach for {@link io.marigoldsail.routing.Router}, which knows the targets of one service. The
 * rest of the package is one module for each question: {@code SlotShare} how many of a target's
 * slots this entry may use beside others, {@code SlowStart} how fast a new target is filled, {@code
 * TargetHealth} whether a target is slow or failing and how it is tried again. All are pure state
 * machines: times and random sources are arguments.
 */
package io.marigoldsail.routing;
