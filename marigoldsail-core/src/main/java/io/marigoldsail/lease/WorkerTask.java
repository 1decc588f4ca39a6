package io.marigoldsail.lease;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.job.Sizes;

/**
 * An attempt of a task as its worker reports it.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task the task's name
 * @param attempt the attempt
 * @param token the fencing token it was started with
 * @param state its state
 * @param sizes the resources that it was started with; they count against the worker only while it
 *     runs
 * @param checkpoint the id of the last checkpoint, or empty
 * @param detail why it ended, or empty
 */
public record WorkerTask(
    String task,
    int attempt,
    long token,
    State state,
    Sizes sizes,
    String checkpoint,
    String detail) {
  /** State of an attempt. */
  public enum State {
    /** It runs, or may still run. */
    RUNNING,
    /** It ended by itself with success. */
    DONE,
    /** It ended by itself without success; the detail says why. */
    FAILED,
    /** It was stopped on request. */
    STOPPED,
    /** The worker stopped it because its lease expired. */
    LAPSED
  }

  /** Checks the components. */
  public WorkerTask {
    requireNonNull(task, "task");
    requireNonNull(state, "state");
    requireNonNull(sizes, "sizes");
    requireNonNull(checkpoint, "checkpoint");
    requireNonNull(detail, "detail");
  }

  /** Returns whether the attempt still occupies its resources. */
  public boolean running() {
    return state == State.RUNNING;
  }
}
