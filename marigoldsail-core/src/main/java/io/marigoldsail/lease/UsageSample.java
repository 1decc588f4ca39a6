package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * Measured usage of one attempt over a span of time; arrives late.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task the task's name
 * @param token the attempt's fencing token
 * @param measuredMillis end of the span, on the worker's clock in milliseconds
 * @param used mean processors and peak memory over the span
 * @param slowdown run time as a multiple of that without co-located tasks: 1 for undisturbed, 2 for
 *     twice as long
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
