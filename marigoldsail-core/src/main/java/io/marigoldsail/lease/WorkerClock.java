package io.marigoldsail.lease;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Converts deadlines on this process's clock to deadlines on a worker's clock, never to later ones.
 *
 * <p>A worker returns a reading of its clock, taken at some time between the call and the response.
 * The reading is treated as taken at the time of the response, so every converted deadline is too
 * early by at most the duration of the call, and never too late. Immutable.
 */
public final class WorkerClock {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final long workerMillis;
  private final long respondedNanos;

  private WorkerClock(long workerMillis, long respondedNanos) {
    this.workerMillis = workerMillis;
    this.respondedNanos = respondedNanos;
  }

  /**
   * Returns the clock of a worker that returned a reading.
   *
   * @param workerMillis the reading, in the worker's milliseconds
   * @param calledNanos this process's clock before the call
   * @param respondedNanos this process's clock after the response
   */
  public static WorkerClock of(long workerMillis, long calledNanos, long respondedNanos) {
    checkArgument(
        respondedNanos >= calledNanos, "respondedNanos is before calledNanos: %s", respondedNanos);
    return new WorkerClock(workerMillis, respondedNanos);
  }

  /**
   * Returns the latest reading of the worker's clock that is not after the given one of this
   * process.
   */
  public long deadlineMillis(long deadlineNanos) {
    return workerMillis + Math.floorDiv(deadlineNanos - respondedNanos, NANOS_PER_MILLI);
  }
}
