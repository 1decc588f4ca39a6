package io.marigoldsail.workflow;

/**
 * Status of a workflow as callers see it.
 *
 * <p>The numbers are written to durable records and never change.
 */
public enum WorkflowStatus {
  /** Accepted; no task has run. */
  QUEUED(1, false),
  /** A task has run. */
  RUNNING(2, false),
  /** All tasks are done. */
  DONE(3, true),
  /** A task failed as often as the queue allows. */
  FAILED(4, true),
  /** A caller cancelled it. */
  CANCELLED(5, true);

  private final int number;
  private final boolean terminal;

  WorkflowStatus(int number, boolean terminal) {
    this.number = number;
    this.terminal = terminal;
  }

  /** Returns the number in records and frames. */
  public int number() {
    return number;
  }

  /** Returns whether no more tasks will start. */
  public boolean isTerminal() {
    return terminal;
  }

  /**
   * Returns the status with the number; {@link #RUNNING} for an unknown number, which a newer
   * version may write.
   */
  public static WorkflowStatus forNumber(int number) {
    for (WorkflowStatus status : values()) {
      if (status.number == number) {
        return status;
      }
    }
    return RUNNING;
  }
}
