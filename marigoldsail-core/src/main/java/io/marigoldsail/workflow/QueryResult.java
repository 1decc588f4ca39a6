package io.marigoldsail.workflow;

import java.util.Optional;

/**
 * An owner's response to a query about a workflow.
 *
 * <p>The numbers are sent between processes and never change.
 */
public enum QueryResult {
  /** Accepted; no task has run. */
  QUEUED(1, WorkflowStatus.QUEUED),
  /** A task has run. */
  RUNNING(2, WorkflowStatus.RUNNING),
  /** All tasks are done. */
  DONE(3, WorkflowStatus.DONE),
  /** A task failed as often as the queue allows. */
  FAILED(4, WorkflowStatus.FAILED),
  /** Cancelled. */
  CANCELLED(5, WorkflowStatus.CANCELLED),
  /** No such workflow was ever accepted, or it ended long ago. */
  UNKNOWN_WORKFLOW(6, null),
  /** The queried process does not own the workflow, or does not know its status now. */
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

  /** Returns the reported status, or empty if there is none. */
  public Optional<WorkflowStatus> status() {
    return Optional.ofNullable(status);
  }

  /** Returns the result that reports the status. */
  public static QueryResult of(WorkflowStatus status) {
    return forNumber(status.number());
  }

  /**
   * Returns the result with the number; {@link #UNAVAILABLE} for an unknown number, which a newer
   * version may send.
   */
  public static QueryResult forNumber(int number) {
    for (QueryResult result : values()) {
      if (result.number == number) {
        return result;
      }
    }
    return UNAVAILABLE;
  }
}
