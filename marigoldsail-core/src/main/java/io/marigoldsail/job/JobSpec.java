package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.regex.Pattern;

/**
 * Specification of a job: a number of identical tasks that a team wants to run.
 *
 * <p>Immutable. Rejects nulls and values out of range. The log stores it in this form.
 *
 * @param name the job's name; submitting the same job again has no effect
 * @param team the team whose quota it uses
 * @param taskClass the priority class of its tasks
 * @param count number of tasks
 * @param sizes the declared resources of one task; often far off
 * @param command the command line for the worker, opaque to this system
 * @param runMillis the declared run time of a task, in milliseconds; often far off
 * @param urgent whether it takes precedence over jobs that are not urgent
 * @param finishByMillis the deadline, in milliseconds since the Unix epoch; 0 for none
 * @param idempotent whether a task may run again from its start after its VM was lost
 * @param checkpointIntervalMillis the interval at which a task writes checkpoints, in milliseconds;
 *     0 for no checkpoints
 * @param spread the placement constraint of its tasks
 */
public record JobSpec(
    String name,
    String team,
    @JsonProperty("class") TaskClass taskClass,
    int count,
    Sizes sizes,
    String command,
    long runMillis,
    boolean urgent,
    long finishByMillis,
    boolean idempotent,
    long checkpointIntervalMillis,
    Spread spread) {
  /** Maximum number of tasks of a job. */
  public static final int MAX_COUNT = 10_000;

  /** Pattern of the names of jobs and teams. */
  public static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  /** Checks the components. */
  public JobSpec {
    checkArgument(name != null && NAME.matcher(name).matches(), "not a valid job name: %s", name);
    checkArgument(team != null && NAME.matcher(team).matches(), "not a valid team name: %s", team);
    requireNonNull(taskClass, "taskClass");
    checkArgument(count >= 1 && count <= MAX_COUNT, "count is not in 1..%s: %s", MAX_COUNT, count);
    requireNonNull(sizes, "sizes");
    requireNonNull(command, "command");
    checkArgument(runMillis >= 0, "runMillis is negative: %s", runMillis);
    checkArgument(finishByMillis >= 0, "finishByMillis is negative: %s", finishByMillis);
    checkArgument(
        checkpointIntervalMillis >= 0,
        "checkpointIntervalMillis is negative: %s",
        checkpointIntervalMillis);
    requireNonNull(spread, "spread");
  }

  /** Returns whether its tasks may be preempted for urgent ones: batch and not urgent itself. */
  public boolean preemptable() {
    return taskClass == TaskClass.BATCH && !urgent;
  }

  /** Returns the name of the program that its tasks run; see {@link Programs}. */
  public String program() {
    return Programs.nameOf(team, command);
  }

  /** Returns the name of the job's task with the given index, from 0. */
  public String taskName(int index) {
    return name + "/" + index;
  }
}
