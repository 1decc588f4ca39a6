/**
 * Routing of requests to targets, and detection of unhealthy targets.
 *
 * <p>{@link io.marigoldsail.routing.Router} routes the requests of one service. {@code SlotShare}
 * limits an entry's requests in flight to one target, {@code SlowStart} limits the load of a new
 * target, and {@code TargetHealth} ejects and readmits slow or failing targets. All are pure state
 * machines: times and random sources are arguments.
 */
package io.marigoldsail.routing;
