package io.marigoldsail.workflow;

import java.util.Optional;

/**
 * What an owner answers to a question about a workflow.
 *
 * <p>Numbers are sent between processes and never change.
 */
public enum QueryResult {
  /** Accepted; no task has run. */
  QUEUED(1, WorkflowStatus.QUEUED),
  /** A task has run. */
  RUNNING(2, WorkflowStatus.RUNNING),
  /** All tasks are done. */
  DONE(3, WorkflowStatus.DONE),
  /** Given up after too many failures. */
  FAILED(4, WorkflowStatus.FAILED),
  /** Cancelled. */
  CANCELLED(5, WorkflowStatus.CANCELLED),
  /** No such workflow was ever accepted, or it ended long ago. */
  UNKNOWN_WORKFLOW(6, null),
  /** The one who was asked does not own the workflow, or cannot tell now. */
  UNAVAILABLE(7, null);

  private final int number;
  private final WorkflowStatus status;

  QueryResult(int number, WorkflowStatus status) {
    this.number = number;
    this.status = status;
  }

  /** Returns the number in frames. */
  public int number() {
    return number;
  }

  /** Returns the status that was told, or empty if none was. */
  public Optional<WorkflowStatus> status() {
    return Optional.ofNullable(status);
  }

  /** Returns the result that tells the status. */
  public static QueryResult of(WorkflowStatus status) {
    return forNumber(status.number());
  }

  /** Returns the result of a number; {@link #UNAVAILABLE} for one of a newer version. */
  public static QueryResult forNumber(int number) {
    for (QueryResult result : values()) {
      if (result.number == number) {
        return result;
      }
    }
    return UNAVAILABLE;
  }
}
