/**
 * Checkers of concurrent histories, based on the records of targets, workers and callers.
 *
 * <p>{@link io.marigoldsail.testlib.history.RequestHistory} checks at-most-once execution, {@link
 * io.marigoldsail.testlib.history.TaskHistory} that a task runs in one place at a time, and {@link
 * io.marigoldsail.testlib.history.RevisionHistory} that publishes are linearizable. Each returns
 * the violations as sentences; an empty list means that there are none.
 */
package io.marigoldsail.testlib.history;
