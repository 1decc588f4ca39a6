package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import com.google.common.base.Utf8;
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
 * @param isPart whether further tasks may be in other records
 */
public record WorkflowRecordState(
    WorkflowStatus status,
    ImmutableList<TaskRecordState> tasks,
    long endedMillis,
    String service,
    boolean isPart) {
  /** State of a workflow without attempts. */
  public static final WorkflowRecordState NEW =
      new WorkflowRecordState(WorkflowStatus.QUEUED, ImmutableList.of(), 0, "");

  /** Creates the state of all tasks. */
  public WorkflowRecordState(
      WorkflowStatus status,
      ImmutableList<TaskRecordState> tasks,
      long endedMillis,
      String service) {
    this(status, tasks, endedMillis, service, false);
  }

  /** Checks the components. */
  public WorkflowRecordState {
    requireNonNull(status, "status");
    requireNonNull(tasks, "tasks");
    requireNonNull(service, "service");
  }

  /** Returns this state without the checkpoints that are longer than the given number of bytes. */
  public WorkflowRecordState withCheckpointsUpTo(int maxBytes) {
    return new WorkflowRecordState(
        status,
        tasks.stream()
            .map(
                task ->
                    Utf8.encodedLength(task.checkpoint()) <= maxBytes
                        ? task
                        : task.withoutCheckpoint())
            .collect(ImmutableList.toImmutableList()),
        endedMillis,
        service,
        isPart);
  }

  /**
   * Returns whether this is the cancel of a workflow that was not known, as it was accepted later.
   *
   * @param acceptedMillis when it was accepted, as wall clock in milliseconds
   */
  public boolean isCancelOfUnknown(long acceptedMillis) {
    return status == WorkflowStatus.CANCELLED && tasks.isEmpty() && endedMillis < acceptedMillis;
  }
}
