package io.marigoldsail.daemon.scheduling;

import io.marigoldsail.workflow.TaskKey;
import io.marigoldsail.workflow.WorkflowId;

/**
 * Identifies a step of one occurrence of a workflow.
 *
 * @param workflow the workflow's id
 * @param occurrence the occurrence, from 0
 * @param step the position of the step, from 0
 */
public record StepKey(WorkflowId workflow, int occurrence, int step) {
  /** Returns the key of the step of the task. */
  public static StepKey of(TaskKey task) {
    return new StepKey(task.workflow(), task.occurrence(), task.step());
  }
}
