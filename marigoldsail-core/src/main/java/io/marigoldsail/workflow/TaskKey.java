package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.base.Splitter;
import com.google.common.primitives.Ints;
import java.util.List;
import java.util.Optional;

/**
 * Identifies a task among all workflows.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param workflow the workflow's id
 * @param occurrence the occurrence of the workflow, from 0; 0 without a schedule
 * @param step the step's position in the workflow, from 0
 * @param index the task's position in the step, from 0
 */
public record TaskKey(WorkflowId workflow, int occurrence, int step, int index) {
  private static final char SEPARATOR = '.';
  private static final Splitter SPLITTER = Splitter.on(SEPARATOR);
  private static final int PARTS = 4;

  /** Checks the components. */
  public TaskKey {
    requireNonNull(workflow, "workflow");
    checkArgument(occurrence >= 0, "occurrence is negative: %s", occurrence);
    checkArgument(step >= 0, "step is negative: %s", step);
    checkArgument(index >= 0, "index is negative: %s", index);
  }

  /** Returns the key with the text form, or empty if {@link #toString} of none returns the text. */
  public static Optional<TaskKey> parse(String text) {
    List<String> parts = SPLITTER.splitToList(text);
    if (parts.size() != PARTS) {
      return Optional.empty();
    }
    Optional<WorkflowId> workflow = WorkflowId.parse(parts.get(0));
    Integer occurrence = Ints.tryParse(parts.get(1));
    Integer step = Ints.tryParse(parts.get(2));
    Integer index = Ints.tryParse(parts.get(3));
    if (workflow.isEmpty() || !isPosition(occurrence) || !isPosition(step) || !isPosition(index)) {
      return Optional.empty();
    }
    // Other spellings of a number, such as one with leading zeros, name another program's task.
    return Optional.of(new TaskKey(workflow.get(), occurrence, step, index))
        .filter(key -> key.toString().equals(text));
  }

  private static boolean isPosition(Integer number) {
    return number != null && number >= 0;
  }

  // Written out because the generated methods are linked at run time, which costs each starting
  // process much of its first second.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskKey that
        && occurrence == that.occurrence
        && step == that.step
        && index == that.index
        && workflow.equals(that.workflow);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * (31 * workflow.hashCode() + occurrence) + step) + index;
  }

  /** Returns the text form, such as {@code 5c0e7a21d94b36f8.0.1.17}, also used in logs. */
  @Override
  public String toString() {
    return workflow.toString() + SEPARATOR + occurrence + SEPARATOR + step + SEPARATOR + index;
  }
}
