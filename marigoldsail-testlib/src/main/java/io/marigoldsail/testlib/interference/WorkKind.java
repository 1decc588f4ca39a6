package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.WorkflowSpec;
import java.util.Optional;

/** Kinds of workflows, with what one is worth to its caller and by when. */
enum WorkKind {
  /** Small tasks that a caller waits for. */
  SMALL(0.34, 1.5, 250, 0),
  /** Wide steps of tasks that fill. */
  HEAVY(5.15, 2, 1_000, 2),
  /** Tasks that last and serve their own users. */
  SERVICE(1.34, 2, 2_500, 0);

  private final double value;
  private final double slackFactor;
  private final long objectiveMillis;
  private final int priority;

  WorkKind(double worth, double slackFactor, long objectiveMillis, int priority) {
    this.value = worth;
    this.slackFactor = slackFactor;
    this.objectiveMillis = objectiveMillis;
    this.priority = priority;
  }

  /** Returns what an average workflow is worth; of a lasting one, for each two seconds. */
  double value() {
    return value;
  }

  /** Returns how long a workflow may take and be in time, in milliseconds. */
  double allowedMillis(double chainMillis) {
    return slackFactor * chainMillis + objectiveMillis;
  }

  WorkflowSpec.QueuePolicy policy() {
    return new WorkflowSpec.QueuePolicy(
        FleetDay.SERVICE, priority, 4, Optional.empty(), slackFactor, objectiveMillis);
  }
}
