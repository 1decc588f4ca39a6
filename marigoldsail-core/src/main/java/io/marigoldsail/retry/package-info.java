/**
 * What may be tried again, when, and how much of it.
 *
 * <p>Reach for {@link io.marigoldsail.retry.RetryPolicy} to decide after an attempt ended. {@link
 * io.marigoldsail.dispatch.AttemptOutcome#mayRetry} says what can do no harm; this package says
 * what is worth it. Pure state machines: times and random sources are arguments.
 */
package io.marigoldsail.retry;
