/**
 * Leases of tasks: the worker that enforces them, evidence to renew them, lapses and revocation.
 *
 * <p>Reach for {@link io.marigoldsail.lease.Worker} to plug in a platform's worker.
 */
package io.marigoldsail.lease;
