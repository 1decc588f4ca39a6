package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * Order to a worker to start an attempt.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task the task's name, such as {@code payout/3}
 * @param attempt the attempt, from 1
 * @param token the fencing token: the log offset of the accepted claim
 * @param leaseDeadlineMillis when the worker stops the attempt by itself, on its own clock in
 *     milliseconds
 * @param sizes the resources that the attempt may use
 * @param command the command, opaque to this system
 * @param checkpoint the checkpoint to resume from, or empty to start afresh
 * @param checkpointIntervalMillis interval at which the task writes checkpoints by itself, in
 *     milliseconds; 0 for never
 * @param runMillis the declared run time in milliseconds; often far off
 */
public record WorkerStart(
    String task,
    int attempt,
    long token,
    long leaseDeadlineMillis,
    Sizes sizes,
    String command,
    String checkpoint,
    long checkpointIntervalMillis,
    long runMillis) {
  /** Checks the components. */
  public WorkerStart {
    requireNonNull(task, "task");
    checkArgument(attempt > 0, "attempt is not positive: %s", attempt);
    requireNonNull(sizes, "sizes");
    requireNonNull(command, "command");
    requireNonNull(checkpoint, "checkpoint");
    checkArgument(
        checkpointIntervalMillis >= 0,
        "checkpointIntervalMillis is negative: %s",
        checkpointIntervalMillis);
    checkArgument(runMillis >= 0, "runMillis is negative: %s", runMillis);
  }
}
