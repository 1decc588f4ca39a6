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
   * Takes a workflow that ends.
   *
   * @param tookMillis from when it was handed in; infinite for one that was not done
   * @param meanWork the mean work of its kind
   */
  void workflow(Arrival arrival, double tookMillis, double meanWork) {
    double size = FIXED_PART + (1 - FIXED_PART) * arrival.work() / meanWork;
    double worth = arrival.kind().worth() * Math.min(LARGEST, size);
    double allowed = arrival.kind().allowedMillis(arrival.chainMillis());
    double part = tookMillis <= allowed ? 1 : tookMillis <= MOST_LATE * allowed ? LATE_PART : 0;
    add(arrival.kind(), worth, worth * part);
  }

  /**
   * Takes two seconds of a service.
   *
   * @param atWork the share of its tasks that were at work
   * @param over the share of its tasks that were over their target
   */
  void service(double atWork, double over) {
    double worth = WorkKind.LASTING.worth();
    add(WorkKind.LASTING, worth, worth * Math.max(0, atWork - OVER_WEIGHT * over));
  }

  /** Takes a time for which a task was over its target. */
  void over(double seconds) {
    overSeconds += seconds;
  }

  private void add(WorkKind kind, double more, double moreEarned) {
    owed.merge(kind, more, Double::sum);
    earned.merge(kind, moreEarned, Double::sum);
  }

  /** Returns the part of what a kind was owed that it earned; 1 where nothing was owed. */
  double share(WorkKind kind) {
    double all = owed.getOrDefault(kind, 0.0);
    return all == 0 ? 1 : earned.getOrDefault(kind, 0.0) / all;
  }

  /** Returns for how many seconds tasks of services were over their target, added up. */
  double overSeconds() {
    return overSeconds;
  }

  /** Returns the day's worth, from 0 to 1. */
  double worth() {
    double allOwed = owed.values().stream().mapToDouble(Double::doubleValue).sum();
    double allEarned = earned.values().stream().mapToDouble(Double::doubleValue).sum();
    double worst = 1;
    for (WorkKind kind : WorkKind.values()) {
      worst = Math.min(worst, share(kind));
    }
    return (1 - WORST_KIND_PART) * allEarned / allOwed + WORST_KIND_PART * worst;
  }
}
