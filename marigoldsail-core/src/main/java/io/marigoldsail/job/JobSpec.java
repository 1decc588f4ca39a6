package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.regex.Pattern;

/**
 * What a team asks to be run: a number of like tasks.
 *
 * <p>Immutable. Rejects nulls and values out of range. Also the form that a job takes in the log.
 *
 * @param name the job's name; submitting it again is the same job
 * @param team the team it counts against
 * @param taskClass how its tasks weigh against others
 * @param count how many tasks
 * @param sizes what one task is declared to need; often far off
 * @param command what a worker runs, opaque to this system
 * @param runMillis the declared run time of a task in milliseconds; often far off
 * @param urgent whether it goes before work that is not
 * @param finishByMillis when it should be done, in milliseconds since the Unix epoch; 0 for none
 * @param idempotent whether a task may be run again from its start after its VM was lost
 * @param checkpointIntervalMillis how often a task writes a checkpoint, in milliseconds; 0 for
 *     never
 * @param spread over what its tasks are spread
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
  /** The most tasks that one job may have. */
  public static final int MAX_COUNT = 10_000;

  /** What names of jobs and teams look like. */
  public static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  /** Checks the components. */
  public JobSpec {
    checkArgument(name != null && NAME.matcher(name).matches(), "name is no job name: %s", name);
    checkArgument(team != null && NAME.matcher(team).matches(), "team is no team name: %s", team);
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

  /** Returns whether its tasks may go for urgent work: batch that is not urgent itself. */
  public boolean preemptable() {
    return taskClass == TaskClass.BATCH && !urgent;
  }

  /** Returns what its tasks run; see {@link Programs}. */
  public String program() {
    return Programs.nameOf(team, command);
  }

  /** Returns the name of the job's task with the given index, from 0. */
  public String taskName(int index) {
    return name + "/" + index;
  }
}
