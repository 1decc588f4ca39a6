package io.marigoldsail.testlib.measure;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The patterns about tasks: every disturbance in both deployments, and the size to build for. */
final class TaskPatterns {
  private TaskPatterns() {}

  static List<MeasurePattern> all() {
    ImmutableList.Builder<MeasurePattern> patterns = ImmutableList.builder();
    for (TaskDisturbance disturbance : TaskDisturbance.values()) {
      for (Deployment deployment : Deployment.TODAY) {
        patterns.add(new TaskPattern(disturbance, deployment));
      }
    }
    patterns.add(new PlacementScale());
    return patterns.build();
  }
}
