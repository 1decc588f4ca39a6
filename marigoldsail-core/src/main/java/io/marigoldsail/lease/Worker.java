package io.marigoldsail.lease;

import io.marigoldsail.error.Result;
import java.util.List;

/**
 * The platform's worker on one VM: runs tasks under leases and enforces them by itself.
 *
 * <p>Lease deadlines are readings of the worker's own clock, which {@link #boot()} and {@link
 * #list()} return, and never durations: a duration that is delivered late, by a suspended side
 * process or a slow connection, would start anew on arrival and outlive its evidence. A deadline in
 * the past starts nothing and extends nothing.
 *
 * <p>Implementations are thread-safe and block the calling thread. They reject nulls. A call that
 * failed with {@code WORKER_FAILED} or {@code OUTCOME_UNKNOWN} may have taken effect; {@link
 * #list()} returns the actual state. Calls that failed with {@code TARGET_UNREACHABLE} or {@code
 * CONFLICT} had no effect. Every call is idempotent by task and token.
 */
public interface Worker {
  /**
   * Returns the worker's boot and its capacity. A new incarnation runs nothing of an earlier one.
   */
  Result<WorkerBoot> boot();

  /**
   * Starts an attempt of a task, or returns its state if this token was started before.
   *
   * <p>Fails with {@code CONFLICT} if a higher token of this task was seen, the deadline has
   * passed, or the sizes do not fit.
   */
  Result<WorkerTask> start(WorkerStart start);

  /**
   * Extends the lease's deadline; never shortens it.
   *
   * <p>Fails with {@code NOT_FOUND} if no such attempt runs, and with {@code CONFLICT} if the
   * deadline has passed already.
   *
   * @param task the task's name
   * @param token the fencing token of the attempt
   * @param leaseDeadlineMillis the new deadline, a reading of the worker's clock
   */
  Result<WorkerTask> renew(String task, long token, long leaseDeadlineMillis);

  /**
   * Limits the processor time of a running attempt.
   *
   * @param task the task's name
   * @param token the fencing token of the attempt
   * @param percent the share of its processors that it may use, 1 to 100
   */
  Result<WorkerTask> throttle(String task, long token, int percent);

  /** Writes a checkpoint of a running attempt; the result carries its id. */
  Result<WorkerTask> checkpoint(String task, long token);

  /**
   * Stops an attempt; after success it no longer runs.
   *
   * <p>Succeeds also for an attempt that has ended, and for an unknown one, which can then no
   * longer start under this token.
   */
  Result<WorkerTask> stop(String task, long token);

  /** Returns the running and the recently ended attempts, with the boot they belong to. */
  Result<WorkerListing> list();

  /** Returns usage samples, which are delayed; each sample is returned at least once. */
  Result<List<UsageSample>> usage();
}
