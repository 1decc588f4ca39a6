package io.marigoldsail.workflow;

/**
 * What callers are told of a workflow.
 *
 * <p>Numbers are written to durable records and never change.
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

  /** Returns whether nothing more will start. */
  public boolean isTerminal() {
    return terminal;
  }

  /** Returns the status of a number; {@link #RUNNING} for one of a newer version. */
  public static WorkflowStatus forNumber(int number) {
    for (WorkflowStatus status : values()) {
      if (status.number == number) {
        return status;
      }
    }
    return RUNNING;
  }
}
