/**
 * Error kinds, and results that are either a value or a failure.
 *
 * <p>Use {@link io.marigoldsail.error.Result} where failures are part of a method's contract;
 * exceptions are for internal errors.
 */
package io.marigoldsail.error;
