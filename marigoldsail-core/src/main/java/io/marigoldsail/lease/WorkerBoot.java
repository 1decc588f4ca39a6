package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * One boot of a worker.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param incarnation identifies the boot; a new boot runs nothing of an earlier one
 * @param capacity the resources of all tasks together
 * @param clockMillis the worker's clock at the time of the response, in milliseconds from any
 *     origin; monotonic within a boot
 */
public record WorkerBoot(long incarnation, Sizes capacity, long clockMillis) {
  /** Checks the components. */
  public WorkerBoot {
    requireNonNull(capacity, "capacity");
  }
}
