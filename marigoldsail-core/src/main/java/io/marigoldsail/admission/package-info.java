/**
 * Whom to serve, who waits, who is refused and when the refused come back.
 *
 * <p>Reach for {@link io.marigoldsail.admission.FairQueue} for the order in which requests are
 * served, for {@link io.marigoldsail.admission.AdmissionPolicy} to decide at the moment of arrival
 * whether one may wait, and for {@link io.marigoldsail.admission.RetryAfterEstimator} for the time
 * that a refused caller is told. All are pure state machines: times and random sources are
 * arguments.
 */
package io.marigoldsail.admission;
