package io.marigoldsail.guard;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Interference scores of programs on this VM: how often the service slowed down when their tasks
 * were relaxed.
 *
 * <p>Bounded; the least recently used programs are evicted first. Not thread-safe.
 */
final class InterferenceScores {
  private static final int MAX_PROGRAMS = 256;
  private static final double DECAY_FACTOR = 0.7;

  private final Map<String, Double> scores =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_PROGRAMS;
        }
      };

  double score(String program) {
    return scores.getOrDefault(program, 0.0);
  }

  /**
   * Adds to the score, because the service slowed down soon after tasks were relaxed, of which this
   * program was the given fraction.
   */
  void confirm(String program, double fraction) {
    scores.merge(program, fraction, Double::sum);
  }

  /** Decays the score, because the service stayed fast after a task of the program was relaxed. */
  void clear(String program) {
    scores.computeIfPresent(program, (name, score) -> score < 0.1 ? null : score * DECAY_FACTOR);
  }
}
