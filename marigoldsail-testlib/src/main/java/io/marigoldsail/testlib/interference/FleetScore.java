package io.marigoldsail.testlib.interference;

import java.util.EnumMap;
import java.util.Map;

/**
 * The value earned on one day out of the value of its work.
 *
 * <p>Not thread-safe.
 */
final class FleetScore {
  /**
   * The weight of the kind with the lowest earned share; the rest is the share of the whole day.
   */
  private static final double WORST_KIND_WEIGHT = 0.4;

  private static final double FIXED_FRACTION = 0.3;
  private static final double LATE_FRACTION = 0.15;
  private static final double MAX_LATENESS_FACTOR = 3;
  private static final double MAX_SIZE_FACTOR = 4;
  private static final double OVER_TARGET_WEIGHT = 4;

  private final Map<WorkKind, Double> offeredValue = new EnumMap<>(WorkKind.class);
  private final Map<WorkKind, Double> earnedValue = new EnumMap<>(WorkKind.class);
  private double overTargetSeconds;

  /**
   * Adds a workflow.
   *
   * @param tookMillis the time from submission to completion; infinite if it was not completed
   * @param meanWork the mean work of workflows of its kind
   */
  void addWorkflow(WorkflowArrival arrival, double tookMillis, double meanWork) {
    double size = FIXED_FRACTION + (1 - FIXED_FRACTION) * arrival.work() / meanWork;
    double value = arrival.kind().value() * Math.min(MAX_SIZE_FACTOR, size);
    double allowedMillis = arrival.kind().allowedMillis(arrival.criticalPathMillis());
    double fraction =
        tookMillis <= allowedMillis
            ? 1
            : tookMillis <= MAX_LATENESS_FACTOR * allowedMillis ? LATE_FRACTION : 0;
    add(arrival.kind(), value, value * fraction);
  }

  /**
   * Adds a window of two seconds of a service.
   *
   * @param running the fraction of its tasks that were running
   * @param over the fraction of its tasks whose latency was over the target
   */
  void addServiceWindow(double running, double over) {
    double value = WorkKind.SERVICE.value();
    add(WorkKind.SERVICE, value, value * Math.max(0, running - OVER_TARGET_WEIGHT * over));
  }

  /** Adds a time for which the latency of a task was over its target. */
  void addOverTarget(double seconds) {
    overTargetSeconds += seconds;
  }

  private void add(WorkKind kind, double more, double moreEarned) {
    offeredValue.merge(kind, more, Double::sum);
    earnedValue.merge(kind, moreEarned, Double::sum);
  }

  /** Returns the earned fraction of the value of a kind; 1 if it had no work. */
  double earnedShare(WorkKind kind) {
    double offered = offeredValue.getOrDefault(kind, 0.0);
    return offered == 0 ? 1 : earnedValue.getOrDefault(kind, 0.0) / offered;
  }

  /** Returns the total time for which service tasks were over their target, in seconds. */
  double overTargetSeconds() {
    return overTargetSeconds;
  }

  /** Returns the value of the day, from 0 to 1. */
  double value() {
    double totalOffered = offeredValue.values().stream().mapToDouble(Double::doubleValue).sum();
    double totalEarned = earnedValue.values().stream().mapToDouble(Double::doubleValue).sum();
    double lowestShare = 1;
    for (WorkKind kind : WorkKind.values()) {
      lowestShare = Math.min(lowestShare, earnedShare(kind));
    }
    return (1 - WORST_KIND_WEIGHT) * totalEarned / totalOffered + WORST_KIND_WEIGHT * lowestShare;
  }
}
