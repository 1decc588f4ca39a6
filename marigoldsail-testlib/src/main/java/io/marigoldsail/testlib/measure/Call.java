package io.marigoldsail.testlib.measure;

/** One request of one caller, and what came of it. A caller that returns makes a new call. */
final class Call {
  /** What the caller received. */
  enum Result {
    /** Nothing yet. */
    OPEN,
    /** The whole answer, in time. */
    SERVED,
    /** The whole answer, after the caller's deadline. */
    LATE,
    /** An error of the target. */
    FAILED,
    /** A refusal as not run, with a time to come back. */
    REFUSED,
    /** Nothing before the deadline. */
    TIMED_OUT
  }

  /**
   * What a call asks for, drawn before any policy is run, so that all policies see the same.
   *
   * @param arrivesAt when it reaches its entry
   * @param entry the entry that the balancer gives it to
   * @param workNanos how long a healthy target works on it
   * @param timeoutNanos how long after sending it its answer is of use to the caller
   * @param maxRetries how often the caller comes back after a failure or refusal
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
