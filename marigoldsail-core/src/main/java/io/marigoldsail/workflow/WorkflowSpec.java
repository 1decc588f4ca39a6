package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;

/**
 * What a caller handed in, together with the terms of the queue at that time.
 *
 * <p>Immutable. Rejects nulls. A workflow handed in again under its id is the same workflow.
 *
 * @param id chosen by the caller
 * @param queue the name of the queue
 * @param policy the queue's terms when the workflow was accepted
 * @param program opaque text for the worker
 * @param steps at least one
 * @param schedule when it runs
 * @param acceptedMillis wall clock of the accepting entry, in milliseconds
 */
public record WorkflowSpec(
    long id,
    String queue,
    QueuePolicy policy,
    String program,
    ImmutableList<StepSpec> steps,
    Schedule schedule,
    long acceptedMillis) {

  /**
   * The terms of the queue.
   *
   * @param service whose workers run the tasks
   * @param priority 0 comes first
   * @param maxFailures failed runs of one task after which the workflow fails
   * @param advice how a placement adviser is asked; empty where none must be
   * @param slackFactor how many times its longest chain of work a workflow may take and be in time
   * @param objectiveMillis what it may take in addition, in milliseconds
   */
  public record QueuePolicy(
      String service,
      int priority,
      int maxFailures,
      Optional<AdviserTiming> advice,
      double slackFactor,
      long objectiveMillis) {
    /** Checks the components. */
    public QueuePolicy {
      requireNonNull(service, "service");
      requireNonNull(advice, "advice");
      checkArgument(slackFactor >= 1, "slackFactor is under 1: %s", slackFactor);
      checkArgument(objectiveMillis >= 0, "objectiveMillis is negative: %s", objectiveMillis);
      checkArgument(maxFailures >= 1, "maxFailures is not positive: %s", maxFailures);
    }
  }

  /**
   * When a workflow runs.
   *
   * @param occurrences how many times; 0 for once, as soon as it can
   * @param firstDueMillis wall clock of the first time, in milliseconds
   * @param intervalMillis from one time to the next, in milliseconds
   */
  public record Schedule(int occurrences, long firstDueMillis, long intervalMillis) {
    /** Once, as soon as it can. */
    public static final Schedule IMMEDIATE = new Schedule(0, 0, 0);

    /** Checks the components. */
    public Schedule {
      checkArgument(occurrences >= 0, "occurrences is negative: %s", occurrences);
      checkArgument(intervalMillis >= 0, "intervalMillis is negative: %s", intervalMillis);
    }

    /** Returns how often the steps run. */
    public int occurrenceCount() {
      return Math.max(1, occurrences);
    }

    /** Returns when the occurrence may begin, wall clock in milliseconds. */
    public long dueMillis(int occurrence) {
      return occurrences == 0 ? 0 : firstDueMillis + occurrence * intervalMillis;
    }
  }

  /** The most tasks that a workflow may have over all its occurrences. */
  public static final int MAX_TASKS = 20_000;

  /** Checks the components, and that steps depend on earlier ones only. */
  public WorkflowSpec {
    requireNonNull(queue, "queue");
    requireNonNull(policy, "terms");
    requireNonNull(program, "program");
    requireNonNull(schedule, "schedule");
    checkArgument(!steps.isEmpty(), "a workflow has no steps");
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      int step = i;
      checkArgument(
          steps.get(i).dependsOn().stream().allMatch(earlier -> earlier >= 0 && earlier < step),
          "step %s depends on one that is not earlier",
          step);
      tasks += steps.get(i).tasks();
    }
    long total = tasks * schedule.occurrenceCount();
    checkArgument(total <= MAX_TASKS, "a workflow has %s tasks, %s at most", total, MAX_TASKS);
  }
}
