package io.marigoldsail.testlib.measure;

/** One request of a caller and its result. A retry is a new call. */
final class Call {
  /** The result received by the caller. */
  enum Result {
    /** No result yet. */
    OPEN,
    /** A complete response before the deadline. */
    SERVED,
    /** A complete response after the caller's deadline. */
    LATE,
    /** An error of the target. */
    FAILED,
    /** A refusal as not run, with a retry delay. */
    REFUSED,
    /** No response before the deadline. */
    TIMED_OUT
  }

  /**
   * The properties of a call, drawn before a policy runs so that all policies get the same calls.
   *
   * @param arrivesAt when it arrives at its entry
   * @param entry the entry chosen by the load balancer
   * @param workNanos the service time at a healthy target
   * @param timeoutNanos the time after sending during which a response is useful to the caller
   * @param maxRetries the maximum number of retries after failures or refusals
   */
  record Plan(
      long arrivesAt,
      int entry,
      String caller,
      String key,
      boolean longRunning,
      boolean idempotent,
      long workNanos,
      long timeoutNanos,
      int maxRetries) {}

  final long number;
  final Plan plan;
  final long arrivedAt;
  final int retriesLeft;
  Result result = Result.OPEN;
  long completedAt;
  int attempts;

  Call(long number, Plan plan, long arrivedAt, int returnsLeft) {
    this.number = number;
    this.plan = plan;
    this.arrivedAt = arrivedAt;
    this.retriesLeft = returnsLeft;
  }

  long deadline() {
    return arrivedAt + plan.timeoutNanos();
  }

  boolean isOpen() {
    return result == Result.OPEN;
  }

  double latencyMillis() {
    return (completedAt - arrivedAt) / 1e6;
  }
}
