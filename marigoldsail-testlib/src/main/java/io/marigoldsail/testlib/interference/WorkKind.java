package io.marigoldsail.testlib.interference;

import io.marigoldsail.workflow.WorkflowSpec;
import java.util.Optional;

/** The kinds of workflows, with their value and the time in which they must complete. */
enum WorkKind {
  /** Small tasks for which a caller waits. */
  SMALL(0.34, 1.5, 250, 0),
  /** Wide steps of best-effort tasks, which may interfere with services. */
  HEAVY(5.15, 2, 1_000, 2),
  /** Long-running service tasks with a latency target. */
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

  /** Returns the value of an average workflow; for a service, of each window of two seconds. */
  double value() {
    return value;
  }

  /** Returns the maximum duration of a workflow that is in time, in milliseconds. */
  double allowedMillis(double criticalPathMillis) {
    return slackFactor * criticalPathMillis + objectiveMillis;
  }

  WorkflowSpec.QueuePolicy policy() {
    return new WorkflowSpec.QueuePolicy(
        FleetDay.SERVICE, priority, 4, Optional.empty(), slackFactor, objectiveMillis);
  }
}
