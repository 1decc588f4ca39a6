package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

/**
 * Identifies one run of a task. The attempts of a task are numbered from 1; no number is reused.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param task the task
 * @param attempt the number of the attempt
 */
public record RunKey(TaskKey task, int attempt) {
  /** Checks the components. */
  public RunKey {
    requireNonNull(task, "task");
    checkArgument(attempt >= 1, "attempt is not positive: %s", attempt);
  }

  // Written out because the generated methods are linked at run time, which costs each starting
  // process much of its first second.
  @Override
  public boolean equals(Object other) {
    return other instanceof RunKey that && attempt == that.attempt && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + attempt;
  }

  /** Returns the text form, such as {@code 5c0e7a21d94b36f8.0.1.17#2}, used in logs. */
  @Override
  public String toString() {
    return task + "#" + attempt;
  }
}
