/**
 * Retry decisions and the retry budget.
 *
 * <p>{@link io.marigoldsail.retry.RetryPolicy} decides after an attempt has ended. {@link
 * io.marigoldsail.dispatch.AttemptOutcome#mayRetry} defines which retries are safe; this package
 * decides which are worth their cost. Pure state machines: times and random sources are arguments.
 */
package io.marigoldsail.retry;
