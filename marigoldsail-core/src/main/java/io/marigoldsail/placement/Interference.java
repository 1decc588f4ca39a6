package io.marigoldsail.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how much programs slow each other down, from measurements that arrive late.
 *
 * <p>Which programs interfere is not known in advance and changes with load. Without these
 * estimates, placement co-locates the same pair again and again, and the guard has to throttle one
 * of them each time.
 *
 * <p>A measurement states how many times longer a program took beside given neighbours. The excess
 * over the prediction is distributed over the neighbours by least mean squares: too low a
 * prediction raises the weights of all that were present, too high a one lowers them. So the weight
 * grows of a neighbour that is present whenever the program is slow, shrinks for those that are
 * also present when it is not, and interference that stops is unlearned at the same rate. Weights
 * below a minimum are dropped; the table is bounded. Thread-safe.
 */
public final class Interference {
  /** Program name that stands for the service of a VM. */
  public static final String SERVICE = "service";

  /**
   * Fraction of the error by which one measurement changes a prediction; low because readings are
   * noisy.
   */
  private static final double LEARNING_RATE = 0.2;

  private static final double MIN_WEIGHT = 0.005;
  private static final double MIN_NORM = 1e-6;
  private static final double MAX_EXCESS = 4;
  private static final int MAX_PROGRAMS = 1_024;
  private static final int MAX_NEIGHBOURS = 64;

  /** Slowed program, then neighbour, to the excess run time that one such neighbour causes. */
  private final Map<String, Map<String, Double>> weights =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Map<String, Double>> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  /** Creates a table without measurements. */
  public Interference() {}

  /**
   * Records a measurement.
   *
   * @param program the slowed program, or {@link #SERVICE}
   * @param present co-located programs with the number of their tasks, where a throttled task
   *     counts by its fraction
   * @param slowdown run time as a multiple of that without neighbours, at least 1
   */
  public synchronized void recordMeasurement(
      String program, Map<String, Double> present, double slowdown) {
    double norm = 0;
    for (double count : present.values()) {
      norm += count * count;
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

  /**
   * Returns the excess run time that one task of each program causes to the program; programs
   * without effect are left out.
   */
  public synchronized Map<String, Double> costsTo(String program) {
    return Map.copyOf(weights.getOrDefault(program, Map.of()));
  }

  /** Returns the excess run time that one neighbour causes to a program; 0 if unknown. */
  public synchronized double excess(String program, String neighbour) {
    Map<String, Double> row = weights.get(program);
    return row == null ? 0 : row.getOrDefault(neighbour, 0.0);
  }

  /**
   * Returns the excess run time that the program and each other program cause each other, added up;
   * programs without effect are left out.
   */
  public synchronized Map<String, Double> mutualCosts(String program) {
    Map<String, Double> costs = new HashMap<>();
    Map<String, Double> row = weights.get(program);
    if (row != null) {
      costs.putAll(row);
    }
    weights.forEach(
        (other, otherRow) -> {
          Double weight = otherRow.get(program);
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
