/**
 * Scheduling of requests between entry, side process and target.
 *
 * <p>{@link io.marigoldsail.dispatch.RequestPolicy} makes all scheduling decisions of an entry,
 * without a network.
 */
package io.marigoldsail.dispatch;
