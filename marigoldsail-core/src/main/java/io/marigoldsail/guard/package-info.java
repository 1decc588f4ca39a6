/**
 * Protecting the service of one VM from the batch tasks beside it: throttle first, evict last.
 *
 * <p>Reach for {@link io.marigoldsail.guard.Guard} to decide, and {@link
 * io.marigoldsail.guard.TailWindow} to measure the service.
 */
package io.marigoldsail.guard;
