package io.marigoldsail.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How much programs slow each other, learned from measurements that arrive late.
 *
 * <p>Load pattern: which pairs hurt each other is known to nobody beforehand and shifts with load.
 * Without this, placement puts the same pair together again and again, and each time the guard has
 * to throttle it apart.
 *
 * <p>A measurement says that a program took so many times longer beside such neighbours. The excess
 * is shared among the neighbours by what is known of them (least mean squares): a prediction that
 * was too low raises the weights of all that were there, one that was too high lowers them. So the
 * one that is always there when it is slow gains, those that are also there when it is not lose,
 * and what ceases to hurt is unlearned at the same rate. Weights below a floor are forgotten; the
 * table is bounded. Safe for any thread.
 */
public final class Interference {
  /** The program that stands for the service of a VM. */
  public static final String SERVICE = "service";

  /** How far one measurement moves a prediction; readings are noisy, so a fifth. */
  private static final double LEARNING_RATE = 0.2;

  private static final double MIN_WEIGHT = 0.005;
  private static final double MIN_NORM = 1e-6;
  private static final double MAX_EXCESS = 4;
  private static final int MAX_PROGRAMS = 1_024;
  private static final int MAX_NEIGHBOURS = 64;

  /** Slowed program, then neighbour, to the excess that one such neighbour causes. */
  private final Map<String, Map<String, Double>> weights =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Double>> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /** Creates a table that has learned nothing. */
  public Interference() {}

  /**
   * Takes in a measurement.
   *
   * @param program what was slowed, or {@link #SERVICE}
   * @param present how much of each program ran beside it: 1 for a task that ran free, less for one
   *     that was throttled, the sum for several
   * @param slowdown how much longer it took than alone, from 1
   */
  public synchronized void recordMeasurement(
      String program, Map<String, Double> present, double slowdown) {
    double norm = 0;
    for (double much : present.values()) {
      norm += much * much;
    }
    if (norm < MIN_NORM) {
      return;
    }
    Map<String, Double> row = weights.computeIfAbsent(program, unused -> new HashMap<>());
    double error = Math.min(MAX_EXCESS, Math.max(0, slowdown - 1)) - predict(row, present);
    for (Map.Entry<String, Double> neighbour : present.entrySet()) {
      double step = LEARNING_RATE * error * neighbour.getValue() / Math.max(1, norm);
      double weight = row.getOrDefault(neighbour.getKey(), 0.0) + step;
      if (weight < MIN_WEIGHT) {
        row.remove(neighbour.getKey());
      } else if (row.size() < MAX_NEIGHBOURS || row.containsKey(neighbour.getKey())) {
        row.put(neighbour.getKey(), weight);
      }
    }
    if (row.isEmpty()) {
      weights.remove(program);
    }
  }

  /** Returns what one task of each program costs another, those that cost it nothing left out. */
  public synchronized Map<String, Double> costsTo(String program) {
    return Map.copyOf(weights.getOrDefault(program, Map.of()));
  }

  /** Returns the excess time that one neighbour costs a program; 0 for what is not known. */
  public synchronized double excess(String program, String neighbour) {
    Map<String, Double> row = weights.get(program);
    return row == null ? 0 : row.getOrDefault(neighbour, 0.0);
  }

  /**
   * Returns what a program and each other one cost each other, those that cost nothing left out.
   */
  public synchronized Map<String, Double> mutualCosts(String program) {
    Map<String, Double> costs = new HashMap<>();
    Map<String, Double> row = weights.get(program);
    if (row != null) {
      costs.putAll(row);
    }
    weights.forEach(
        (other, ofOther) -> {
          Double weight = ofOther.get(program);
          if (weight != null) {
            costs.merge(other, weight, Double::sum);
          }
        });
    return costs;
  }

  private static double predict(Map<String, Double> row, Map<String, Double> present) {
    double sum = 0;
    for (Map.Entry<String, Double> neighbour : present.entrySet()) {
      sum += row.getOrDefault(neighbour.getKey(), 0.0) * neighbour.getValue();
    }
    return sum;
  }
}
