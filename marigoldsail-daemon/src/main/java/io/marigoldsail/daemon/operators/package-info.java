/**
 * The HTTP API for operators: JSON routes, metrics, and the events of the process.
 *
 * <p>Use {@link io.marigoldsail.daemon.operators.OperatorServer#register} to add a route. The
 * operators' address does not serve callers, and the callers' address does not serve operators.
 */
package io.marigoldsail.daemon.operators;
