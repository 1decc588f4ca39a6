package io.marigoldsail.testlib.interference;

import java.util.EnumMap;
import java.util.Map;

/**
 * What callers and users got of what they were owed on one day.
 *
 * <p>Confined to one thread.
 */
final class FleetScore {
  /** What the worst-served kind counts beside the whole day. */
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
   * Takes a workflow that ends.
   *
   * @param tookMillis from when it was handed in; infinite for one that was not done
   * @param meanWork the mean work of its kind
   */
  void addWorkflow(WorkflowArrival arrival, double tookMillis, double meanWork) {
    double size = FIXED_FRACTION + (1 - FIXED_FRACTION) * arrival.work() / meanWork;
    double worth = arrival.kind().value() * Math.min(MAX_SIZE_FACTOR, size);
    double allowed = arrival.kind().allowedMillis(arrival.criticalPathMillis());
    double part =
        tookMillis <= allowed ? 1 : tookMillis <= MAX_LATENESS_FACTOR * allowed ? LATE_FRACTION : 0;
    add(arrival.kind(), worth, worth * part);
  }

  /**
   * Takes two seconds of a service.
   *
   * @param atWork the share of its tasks that were at work
   * @param over the share of its tasks that were over their target
   */
  void addServiceWindow(double atWork, double over) {
    double worth = WorkKind.SERVICE.value();
    add(WorkKind.SERVICE, worth, worth * Math.max(0, atWork - OVER_TARGET_WEIGHT * over));
  }

  /** Takes a time for which a task was over its target. */
  void addOverTarget(double seconds) {
    overTargetSeconds += seconds;
  }

  private void add(WorkKind kind, double more, double moreEarned) {
    offeredValue.merge(kind, more, Double::sum);
    earnedValue.merge(kind, moreEarned, Double::sum);
  }

  /** Returns the part of what a kind was owed that it earned; 1 where nothing was owed. */
  double earnedShare(WorkKind kind) {
    double all = offeredValue.getOrDefault(kind, 0.0);
    return all == 0 ? 1 : earnedValue.getOrDefault(kind, 0.0) / all;
  }

  /** Returns for how many seconds tasks of services were over their target, added up. */
  double overTargetSeconds() {
    return overTargetSeconds;
  }

  /** Returns the day's worth, from 0 to 1. */
  double value() {
    double allOwed = offeredValue.values().stream().mapToDouble(Double::doubleValue).sum();
    double allEarned = earnedValue.values().stream().mapToDouble(Double::doubleValue).sum();
    double worst = 1;
    for (WorkKind kind : WorkKind.values()) {
      worst = Math.min(worst, earnedShare(kind));
    }
    return (1 - WORST_KIND_WEIGHT) * allEarned / allOwed + WORST_KIND_WEIGHT * worst;
  }
}
