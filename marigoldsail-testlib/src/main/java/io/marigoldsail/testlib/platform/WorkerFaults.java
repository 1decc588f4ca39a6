package io.marigoldsail.testlib.platform;

/**
 * What a stand-in worker does wrong just now. Immutable; zero and false switch a fault off.
 *
 * @param down whether it refuses everything; what runs goes on
 * @param failEverything whether every attempt fails as soon as it starts
 * @param loseAnswers how many of the next calls take effect without an answer; -1 for all
 * @param usageLagMillis how long after measuring a usage sample is told, in milliseconds
 * @param slowdown how much longer every task takes than alone; 1 for undisturbed
 */
public record WorkerFaults(
    boolean down, boolean failEverything, int loseAnswers, long usageLagMillis, double slowdown) {

  private static final long DEFAULT_USAGE_LAG_MILLIS = 2_000;

  /** Returns a worker in good health, whose usage reports lag by two seconds. */
  public static WorkerFaults none() {
    return new WorkerFaults(false, false, 0, DEFAULT_USAGE_LAG_MILLIS, 1);
  }

  /** Returns these faults with the worker down or up. */
  public WorkerFaults withDown(boolean newDown) {
    return new WorkerFaults(newDown, failEverything, loseAnswers, usageLagMillis, slowdown);
  }

  /** Returns these faults with every start failing or not. */
  public WorkerFaults withFailEverything(boolean newFailEverything) {
    return new WorkerFaults(down, newFailEverything, loseAnswers, usageLagMillis, slowdown);
  }

  /** Returns these faults with the given number of answers to lose. */
  public WorkerFaults withLoseAnswers(int count) {
    return new WorkerFaults(down, failEverything, count, usageLagMillis, slowdown);
  }

  /** Returns these faults with every task slowed down by a factor. */
  public WorkerFaults withSlowdown(double newSlowdown) {
    return new WorkerFaults(down, failEverything, loseAnswers, usageLagMillis, newSlowdown);
  }
}
