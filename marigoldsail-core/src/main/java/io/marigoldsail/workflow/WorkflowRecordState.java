package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;

/**
 * What is durable of a workflow besides what was handed in.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param status as callers are told
 * @param tasks in the order of occurrence, step and index; tasks after the last are new ones
 * @param endedMillis wall clock of the owner when it ended; 0 while it has not
 */
public record WorkflowRecordState(
    WorkflowStatus status, ImmutableList<TaskRecordState> tasks, long endedMillis) {
  /** A workflow of which nothing was ever ordered. */
  public static final WorkflowRecordState NEW =
      new WorkflowRecordState(WorkflowStatus.QUEUED, ImmutableList.of(), 0);

  /** Checks the components. */
  public WorkflowRecordState {
    requireNonNull(status, "status");
    requireNonNull(tasks, "tasks");
  }
}
