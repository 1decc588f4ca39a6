package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.math.LongMath;
import java.util.Optional;

/**
 * A workflow as submitted by a caller, with the policy of its queue at that time.
 *
 * <p>Immutable. Rejects nulls. A workflow submitted again under its id is the same workflow.
 *
 * @param id chosen by the caller
 * @param queue the name of the queue
 * @param policy the policy of the queue when the workflow was accepted; service and advice follow
 *     the queue, see {@link Workflow#follow}
 * @param program opaque text for the worker
 * @param steps at least one
 * @param schedule when it runs
 * @param acceptedMillis wall clock of the accepting entry, in milliseconds
 */
public record WorkflowSpec(
    WorkflowId id,
    String queue,
    QueuePolicy policy,
    String program,
    ImmutableList<StepSpec> steps,
    Schedule schedule,
    long acceptedMillis) {

  /**
   * Policy of a queue.
   *
   * @param service the service whose workers run the tasks
   * @param priority 0 is the highest
   * @param maxFailures failed runs of one task after which the workflow fails
   * @param advice timing of the placement adviser; empty if placement needs no advice
   * @param slackFactor multiple of the critical path within which a workflow is in time
   * @param objectiveMillis time that is allowed in addition, in milliseconds
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
      checkArgument(slackFactor >= 1, "slackFactor is less than 1: %s", slackFactor);
      checkArgument(objectiveMillis >= 0, "objectiveMillis is negative: %s", objectiveMillis);
      checkArgument(maxFailures >= 1, "maxFailures is not positive: %s", maxFailures);
    }

    /** Returns this policy with another service. */
    QueuePolicy withService(String newService) {
      return new QueuePolicy(
          newService, priority, maxFailures, advice, slackFactor, objectiveMillis);
    }
  }

  /**
   * When a workflow runs.
   *
   * @param occurrences number of occurrences; 0 to run once, as soon as possible
   * @param firstDueMillis wall clock at which the first occurrence is due, in milliseconds
   * @param intervalMillis time between the due times of occurrences, in milliseconds
   */
  public record Schedule(int occurrences, long firstDueMillis, long intervalMillis) {
    /** Runs once, as soon as possible. */
    public static final Schedule IMMEDIATE = new Schedule(0, 0, 0);

    /** Checks the components. */
    public Schedule {
      checkArgument(occurrences >= 0, "occurrences is negative: %s", occurrences);
      checkArgument(intervalMillis >= 0, "intervalMillis is negative: %s", intervalMillis);
    }

    /** Returns how many times the steps run. */
    public int occurrenceCount() {
      return Math.max(1, occurrences);
    }

    /**
     * Returns the earliest start of the occurrence, as wall clock in milliseconds; 0 without a
     * schedule.
     */
    public long dueMillis(int occurrence) {
      return occurrences == 0 ? 0 : firstDueMillis + occurrence * intervalMillis;
    }
  }

  /** Maximum number of tasks of a workflow over all its occurrences. */
  public static final int MAX_TASKS = 20_000;

  /**
   * Maximum length of a program, in characters; a start order with it fits in a frame several
   * times.
   */
  public static final int MAX_PROGRAM_LENGTH = 16_000;

  /** Maximum length of every other text in a workflow, in characters. */
  public static final int MAX_TEXT_LENGTH = 1_024;

  /** Estimated memory of a specification and its workflow without texts and steps, in bytes. */
  private static final int SPEC_BYTES = 950;

  /** Estimated memory of a step without its texts, in bytes. */
  private static final int STEP_BYTES = 220;

  /** Checks the components, and that steps depend only on earlier ones. */
  public WorkflowSpec {
    requireNonNull(id, "id");
    requireNonNull(queue, "queue");
    requireNonNull(policy, "policy");
    requireNonNull(program, "program");
    requireNonNull(schedule, "schedule");
    checkLength("queue", queue, MAX_TEXT_LENGTH);
    checkLength("service", policy.service(), MAX_TEXT_LENGTH);
    checkLength("program", program, MAX_PROGRAM_LENGTH);
    checkArgument(!steps.isEmpty(), "workflow has no steps");
    long tasks = 0;
    for (int i = 0; i < steps.size(); i++) {
      int step = i;
      checkArgument(
          steps.get(i).dependsOn().stream().allMatch(earlier -> earlier >= 0 && earlier < step),
          "step %s depends on a step that is not earlier",
          step);
      tasks += steps.get(i).tasks();
    }
    // Counts that any program may have declared: the product of the largest ones overflows.
    long total = LongMath.saturatedMultiply(tasks, schedule.occurrenceCount());
    checkArgument(
        total <= MAX_TASKS, "workflow has %s tasks, more than the maximum of %s", total, MAX_TASKS);
  }

  /** Returns the estimated memory of the specification, in bytes. */
  public long footprintBytes() {
    long bytes = SPEC_BYTES + queue.length() + (long) Character.BYTES * program.length();
    for (StepSpec step : steps) {
      bytes +=
          STEP_BYTES
              + (long) Integer.BYTES * step.dependsOn().size()
              + step.traits().image().length()
              + step.placement().requiredLabel().length()
              + step.placement().preferredRack().length();
    }
    return bytes;
  }

  static void checkLength(String name, String text, int maxLength) {
    checkArgument(text.length() <= maxLength, "%s is longer than %s characters", name, maxLength);
  }

  /**
   * Returns whether the other one asks for the same, whatever the policy of the queue was at its
   * acceptance, and whenever that was.
   */
  public boolean isSameRequest(WorkflowSpec other) {
    return id.equals(other.id)
        && queue.equals(other.queue)
        && program.equals(other.program)
        && steps.equals(other.steps)
        && schedule.equals(other.schedule);
  }
}
