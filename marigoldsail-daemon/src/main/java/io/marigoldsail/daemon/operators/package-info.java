/**
 * The operators' HTTP address: routes with JSON in and out, metrics, and the process's events.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.operators.OperatorServer#register} to serve a route.
 * Callers are never served here, and operators never on the callers' address.
 */
package io.marigoldsail.daemon.operators;
