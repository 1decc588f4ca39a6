package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The patterns of tasks: each disturbance in both deployments, and placement at scale. */
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
    for (int divisor = 1; divisor <= MAX_DIVISOR; divisor *= 2) {
      patterns.add(new PlacementScale(divisor));
    }
    return patterns.build();
  }
}
