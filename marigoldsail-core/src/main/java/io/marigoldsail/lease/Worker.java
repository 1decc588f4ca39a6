package io.marigoldsail.lease;

import io.marigoldsail.error.Result;
import java.util.List;

/**
 * The platform's worker on one VM: runs tasks under leases and enforces them by itself.
 *
 * <p>Lease deadlines are readings of the worker's own clock, which {@link #boot()} and {@link
 * #list()} tell; never spans, because a span that is sent late (by a frozen side process, or a slow
 * connection) would start anew on arrival and outlive the evidence it rests on. A deadline in the
 * past starts nothing and extends nothing.
 *
 * <p>Implementations are safe for any thread and block the calling one. They reject nulls. A
 * failure of kind {@code WORKER_FAILED} or {@code OUTCOME_UNKNOWN} may have taken effect: ask
 * {@link #list()}. {@code TARGET_UNREACHABLE} and {@code CONFLICT} did not take effect. Every call
 * is idempotent by task and token.
 */
public interface Worker {
  /** Returns the worker's boot and what it has. A new incarnation runs nothing of the old one. */
  Result<WorkerBoot> boot();

  /**
   * Starts an attempt of a task, or returns its state if this token was started before.
   *
   * <p>Fails with {@code CONFLICT} where a higher token of this task was seen, the deadline has
   * passed, or the sizes do not fit.
   */
  Result<WorkerTask> start(WorkerStart start);

  /**
   * Moves the lease's deadline on; never back.
   *
   * <p>Fails with {@code NOT_FOUND} where no such attempt runs, {@code CONFLICT} where the deadline
   * has passed already.
   *
   * @param task the task's name
   * @param token the fencing token it was started with
   * @param leaseDeadlineMillis the new deadline, a reading of the worker's clock
   */
  Result<WorkerTask> renew(String task, long token, long leaseDeadlineMillis);

  /**
   * Limits the processor time of a running attempt.
   *
   * @param task the task's name
   * @param token the fencing token it was started with
   * @param percent how much of its processors it may use, 1 to 100
   */
  Result<WorkerTask> throttle(String task, long token, int percent);

  /** Writes a checkpoint of a running attempt; the answer carries its id. */
  Result<WorkerTask> checkpoint(String task, long token);

  /**
   * Stops an attempt; on success it no longer runs. Succeeds also for one that had ended, and for
   * one never seen, which then can no longer start under this token.
   */
  Result<WorkerTask> stop(String task, long token);

  /** Returns what runs, and what ended recently, with the boot they belong to. */
  Result<WorkerListing> list();

  /** Returns usage measured some time ago; each sample is told at least once. */
  Result<List<UsageSample>> usage();
}
