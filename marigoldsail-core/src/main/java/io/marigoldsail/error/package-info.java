/**
 * The closed list of error kinds, and results that are either a value or a failure.
 *
 * <p>Reach for {@link io.marigoldsail.error.Result} wherever failing is part of a contract; keep
 * exceptions for faults of this software.
 */
package io.marigoldsail.error;
