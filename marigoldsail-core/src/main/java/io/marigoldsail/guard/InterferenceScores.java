package io.marigoldsail.guard;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How much each program is suspected of slowing this VM's service, from what happened when its
 * tasks were let loose again.
 *
 * <p>Bounded; what was not seen for long is forgotten first. Not safe for use by several threads.
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

  /** The service slowed soon after tasks were let loose, of which this was the given part. */
  void confirm(String program, double part) {
    scores.merge(program, part, Double::sum);
  }

  /** The service stayed quiet after a task of the program was let loose. */
  void clear(String program) {
    scores.computeIfPresent(program, (name, score) -> score < 0.1 ? null : score * DECAY_FACTOR);
  }
}
