package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.RunOutcome;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides how long a task waits after an attempt before its next one.
 *
 * <p>When many owners place into the last free capacity, most of them are refused; without a
 * growing backoff they would send the same starts again at once. Stateless.
 */
final class StartBackoff {
  /** Backoff of a refused task, multiplied by its consecutive refusals. */
  private static final long REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /**
   * Backoff of a refused gang, multiplied by its consecutive refusals. Longer than that of a single
   * task because each refusal costs all other members a start and a stop.
   */
  private static final long GANG_REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Longest backoff of a task whose start workers reject as malformed, in nanoseconds. Some of them
   * may be at fault, so such a task is never given up.
   */
  private static final long MAX_REJECTED_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Rejections from which on the longest backoff holds. */
  private static final int MAX_DOUBLINGS = 12;

  /** Backoff of a failed long-running task. */
  private static final long FAILED_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int MAX_FACTOR = 20;

  /**
   * Longest backoff of a refused task or gang, in nanoseconds. Reports of free capacity do not end
   * a backoff early, so a longer one would leave the task waiting for seconds although there is
   * free capacity.
   */
  private static final long MAX_REFUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private StartBackoff() {}

  /** Returns the backoff after an attempt with the outcome, in nanoseconds, or empty for none. */
  static OptionalLong of(WorkflowTask task, RunOutcome outcome) {
    long base = task.step().traits().gang() ? GANG_REFUSED_NANOS : REFUSED_NANOS;
    if (outcome == RunOutcome.REJECTED) {
      int doublings = Math.min(task.rejections() - 1, MAX_DOUBLINGS);
      return OptionalLong.of(Math.min(base << doublings, MAX_REJECTED_NANOS));
    }
    if (outcome == RunOutcome.REFUSED) {
      int factor = Math.min(task.refusals(), MAX_FACTOR);
      return OptionalLong.of(Math.min(factor * base, MAX_REFUSED_NANOS));
    }
    boolean failed = outcome == RunOutcome.FAILED && task.step().traits().longRunning();
    return failed ? OptionalLong.of(FAILED_NANOS) : OptionalLong.empty();
  }
}
