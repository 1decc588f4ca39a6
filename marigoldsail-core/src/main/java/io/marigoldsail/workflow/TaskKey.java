package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a task among all workflows.
 *
 * <p>Immutable.
 *
 * @param workflow the workflow's id
 * @param occurrence the occurrence of the workflow, from 0; 0 without a schedule
 * @param step the step's position in the workflow, from 0
 * @param index the task's position in the step, from 0
 */
public record TaskKey(long workflow, int occurrence, int step, int index) {
  /** Checks the components. */
  public TaskKey {
    checkArgument(occurrence >= 0, "occurrence is negative: %s", occurrence);
    checkArgument(step >= 0, "step is negative: %s", step);
    checkArgument(index >= 0, "index is negative: %s", index);
  }

  // Written out because the generated methods are linked at run time, which costs each starting
  // process much of its first second.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskKey that
        && workflow == that.workflow
        && occurrence == that.occurrence
        && step == that.step
        && index == that.index;
  }

  @Override
  public int hashCode() {
    return 31 * (31 * (31 * Long.hashCode(workflow) + occurrence) + step) + index;
  }

  /** Returns the text form, such as {@code 5c0e7a21d94b36f8.0.1.17}, also used in logs. */
  @Override
  public String toString() {
    return WorkflowIds.format(workflow) + "." + occurrence + "." + step + "." + index;
  }
}
