/**
 * Admission control and fair queueing of requests.
 *
 * <p>{@link io.marigoldsail.admission.FairQueue} orders queued requests, {@link
 * io.marigoldsail.admission.AdmissionPolicy} decides on arrival whether a request may be queued,
 * and {@link io.marigoldsail.admission.RetryAfterEstimator} chooses the retry-after time of a
 * refused caller. All are pure state machines: times and random sources are arguments.
 */
package io.marigoldsail.admission;
