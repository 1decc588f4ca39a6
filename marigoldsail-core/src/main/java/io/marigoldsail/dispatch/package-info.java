/**
 * The life of a request between entry, side process and target.
 *
 * <p>Reach for {@link io.marigoldsail.dispatch.RequestPolicy} to decide, without a network, what
 * happens to a request.
 */
package io.marigoldsail.dispatch;
