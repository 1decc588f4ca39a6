package io.marigoldsail.testlib.platform;

/**
 * The injected faults of a stand-in worker. Immutable; zero and false disable a fault.
 *
 * @param down whether all requests are refused; running tasks continue
 * @param failEverything whether every attempt fails immediately
 * @param loseAnswers how many of the next calls take effect without a response; -1 for all
 * @param usageLagMillis the delay until a usage sample is reported, in milliseconds
 * @param slowdown the factor by which every task is slowed down; 1 for none
 */
public record WorkerFaults(
    boolean down, boolean failEverything, int loseAnswers, long usageLagMillis, double slowdown) {

  private static final long DEFAULT_USAGE_LAG_MILLIS = 2_000;

  /** Returns a healthy worker whose usage samples are reported after two seconds. */
  public static WorkerFaults none() {
    return new WorkerFaults(false, false, 0, DEFAULT_USAGE_LAG_MILLIS, 1);
  }

  /** Returns these faults with the worker down or up. */
  public WorkerFaults withDown(boolean newDown) {
    return new WorkerFaults(newDown, failEverything, loseAnswers, usageLagMillis, slowdown);
  }

  /** Returns these faults with every start failing, or not. */
  public WorkerFaults withFailEverything(boolean newFailEverything) {
    return new WorkerFaults(down, newFailEverything, loseAnswers, usageLagMillis, slowdown);
  }

  /** Returns these faults with the given number of lost responses. */
  public WorkerFaults withLoseAnswers(int count) {
    return new WorkerFaults(down, failEverything, count, usageLagMillis, slowdown);
  }

  /** Returns these faults with every task slowed down by a factor. */
  public WorkerFaults withSlowdown(double newSlowdown) {
    return new WorkerFaults(down, failEverything, loseAnswers, usageLagMillis, newSlowdown);
  }
}
