/**
 * Protects the service of one VM from the batch tasks on it: throttles first, evicts last.
 *
 * <p>{@link io.marigoldsail.guard.Guard} decides, {@link io.marigoldsail.guard.TailWindow} measures
 * the service.
 */
package io.marigoldsail.guard;
