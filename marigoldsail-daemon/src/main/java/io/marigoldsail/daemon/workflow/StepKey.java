package io.marigoldsail.daemon.workflow;

import io.marigoldsail.workflow.TaskKey;

/**
 * Names a step of one occurrence of a workflow.
 *
 * @param workflow the workflow's id
 * @param occurrence counts from 0
 * @param step its position, from 0
 */
record StepKey(long workflow, int occurrence, int step) {
  static StepKey of(TaskKey task) {
    return new StepKey(task.workflow(), task.occurrence(), task.step());
  }
}
