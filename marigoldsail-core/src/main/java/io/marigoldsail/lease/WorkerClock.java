package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Turns deadlines of this process's clock into deadlines of a worker's clock, never later ones.
 *
 * <p>A worker tells its clock in an answer. It read it at some moment between the call and the
 * answer; taking the moment of the answer makes every turned deadline too early by at most the
 * length of the call, never too late. Immutable.
 */
public final class WorkerClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long workerMillis;
  private final long answeredNanos;

  private WorkerClock(long workerMillis, long answeredNanos) {
    this.workerMillis = workerMillis;
    this.answeredNanos = answeredNanos;
  }

  /**
   * Returns the clock of a worker that told a reading.
   *
   * @param workerMillis what the worker told, in its milliseconds
   * @param calledNanos this process's clock before the call
   * @param answeredNanos this process's clock after the answer
   */
  public static WorkerClock of(long workerMillis, long calledNanos, long answeredNanos) {
    checkArgument(answeredNanos >= calledNanos, "answered %s before the call", answeredNanos);
    return new WorkerClock(workerMillis, answeredNanos);
  }

  /** Returns the reading of the worker's clock that is not after the given one of this process. */
  public long deadlineMillis(long deadlineNanos) {
    return workerMillis + Math.floorDiv(deadlineNanos - answeredNanos, NANOS_PER_MILLI);
  }
}
