/**
 * Checks of what concurrent runs did, from the records of those who cannot be wrong about it.
 *
 * <p>A target knows what ran, a worker knows where a task ran, a caller knows what it was told.
 * Reach for {@link io.marigoldsail.testlib.history.RequestHistory} for at-most-once, {@link
 * io.marigoldsail.testlib.history.TaskHistory} for one place at a time, and {@link
 * io.marigoldsail.testlib.history.RevisionHistory} for publishes in one order. Each returns the
 * violations found as sentences; an empty list is the pass.
 */
package io.marigoldsail.testlib.history;
