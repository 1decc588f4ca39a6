/**
 * Leases of tasks: the worker that enforces them, evidence to renew them, expiry and revocation.
 *
 * <p>A platform's worker implements {@link io.marigoldsail.lease.Worker}.
 */
package io.marigoldsail.lease;
