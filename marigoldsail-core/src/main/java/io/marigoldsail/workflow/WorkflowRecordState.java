package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;

/**
 * Durable state of a workflow, without its specification.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param status the status that callers see
 * @param tasks in the order of occurrence, step and index; tasks after the last have no attempt yet
 * @param endedMillis wall clock of the owner at the end, in milliseconds; 0 until then
 * @param service the service on which tasks start; empty for that of the specification
 */
public record WorkflowRecordState(
    WorkflowStatus status, ImmutableList<TaskRecordState> tasks, long endedMillis, String service) {
  /** State of a workflow without attempts. */
  public static final WorkflowRecordState NEW =
      new WorkflowRecordState(WorkflowStatus.QUEUED, ImmutableList.of(), 0, "");

  /** Checks the components. */
  public WorkflowRecordState {
    requireNonNull(status, "status");
    requireNonNull(tasks, "tasks");
    requireNonNull(service, "service");
  }
}
