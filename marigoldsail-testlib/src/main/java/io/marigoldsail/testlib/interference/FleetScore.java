package io.marigoldsail.testlib.interference;

import java.util.EnumMap;
import java.util.Map;

/**
 * The value earned on one day out of the value of its work.
 *
 * <p>Not thread-safe.
 */
final class FleetScore {
  /** The weight of the kind with the lowest earned share; the rest is the share of the whole day. */
  private static final double WORST_KIND_PART = 0.4;

  private static final double FIXED_PART = 0.3;
  private static final double LATE_PART = 0.15;
  private static final double MOST_LATE = 3;
  private static final double LARGEST = 4;
  private static final double OVER_WEIGHT = 4;

  private final Map<WorkKind, Double> owed = new EnumMap<>(WorkKind.class);
  private final Map<WorkKind, Double> earned = new EnumMap<>(WorkKind.class);
  private double overSeconds;

  /**
   * Adds a workflow.
   *
   * @param tookMillis the time from submission to completion; infinite if it was not completed
   * @param meanWork the mean work of workflows of its kind
   */
  void workflow(Arrival arrival, double tookMillis, double meanWork) {
    double size = FIXED_PART + (1 - FIXED_PART) * arrival.work() / meanWork;
    double value = arrival.kind().worth() * Math.min(LARGEST, size);
    double allowedMillis = arrival.kind().allowedMillis(arrival.chainMillis());
    double fraction = tookMillis <= allowedMillis ? 1 : tookMillis <= MOST_LATE * allowedMillis ? LATE_PART : 0;
    add(arrival.kind(), value, value * fraction);
  }

  /**
   * Adds a window of two seconds of a service.
   *
   * @param running the fraction of its tasks that were running
   * @param over the fraction of its tasks whose latency was over the target
   */
  void service(double running, double over) {
    double value = WorkKind.LASTING.worth();
    add(WorkKind.LASTING, value, value * Math.max(0, running - OVER_WEIGHT * over));
  }

  /** Adds a time for which the latency of a task was over its target. */
  void over(double seconds) {
    overSeconds += seconds;
  }

  private void add(WorkKind kind, double more, double moreEarned) {
    owed.merge(kind, more, Double::sum);
    earned.merge(kind, moreEarned, Double::sum);
  }

  /** Returns the earned fraction of the value of a kind; 1 if it had no work. */
  double share(WorkKind kind) {
    double offered = owed.getOrDefault(kind, 0.0);
    return offered == 0 ? 1 : earned.getOrDefault(kind, 0.0) / offered;
  }

  /** Returns the total time for which service tasks were over their target, in seconds. */
  double overSeconds() {
    return overSeconds;
  }

  /** Returns the value of the day, from 0 to 1. */
  double worth() {
    double totalOffered = owed.values().stream().mapToDouble(Double::doubleValue).sum();
    double totalEarned = earned.values().stream().mapToDouble(Double::doubleValue).sum();
    double lowestShare = 1;
    for (WorkKind kind : WorkKind.values()) {
      lowestShare = Math.min(lowestShare, share(kind));
    }
    return (1 - WORST_KIND_PART) * totalEarned / totalOffered + WORST_KIND_PART * lowestShare;
  }
}
