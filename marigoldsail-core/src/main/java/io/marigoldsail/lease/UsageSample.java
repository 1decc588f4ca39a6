package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * What one attempt used over a measured span; arrives late.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task the task's name
 * @param token the attempt's fencing token
 * @param measuredMillis when the span ended, a reading of the worker's clock
 * @param used mean processors and largest memory over the span
 * @param slowdown how much longer the same work took than alone: 1 for undisturbed, 2 for twice as
 *     long
 */
public record UsageSample(
    String task, long token, long measuredMillis, Sizes used, double slowdown) {
  /** Checks the components. */
  public UsageSample {
    requireNonNull(task, "task");
    requireNonNull(used, "used");
    checkArgument(slowdown > 0, "slowdown is not positive: %s", slowdown);
  }
}
