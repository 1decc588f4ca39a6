package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The patterns about tasks: every disturbance in both deployments, and the size to build for. */
final class TaskPatterns {
  private static final int MAX_DIVISOR = 4;

  private TaskPatterns() {}

  static List<MeasurePattern> all() {
    ImmutableList.Builder<MeasurePattern> patterns = ImmutableList.builder();
    for (TaskDisturbance disturbance : TaskDisturbance.values()) {
      for (Deployment deployment : Deployment.PRODUCTION) {
        patterns.add(new TaskPattern(disturbance, deployment));
      }
    }
    for (int part = 1; part <= MAX_DIVISOR; part *= 2) {
      patterns.add(new PlacementScale(part));
    }
    return patterns.build();
  }
}
