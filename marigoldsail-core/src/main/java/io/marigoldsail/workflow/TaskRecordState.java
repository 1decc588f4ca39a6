package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * Durable state of one task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param done whether a run completed
 * @param lastAttempt the number of the last attempt; 0 for none
 * @param failures the number of failed attempts
 * @param place where the last attempt is, while it may still run; empty if there is none or the
 *     task is done
 * @param checkpoint the latest checkpoint; empty for none
 */
public record TaskRecordState(
    boolean done, int lastAttempt, int failures, Optional<Place> place, String checkpoint) {
  /** State of a task without attempts. */
  public static final TaskRecordState NEW = new TaskRecordState(false, 0, 0, Optional.empty(), "");

  /** Checks the components. */
  public TaskRecordState {
    checkArgument(lastAttempt >= 0, "lastAttempt is negative: %s", lastAttempt);
    checkArgument(failures >= 0, "failures is negative: %s", failures);
    requireNonNull(place, "place");
    checkArgument(
        place.isEmpty() || (lastAttempt > 0 && !done), "a task is open without an attempt");
    requireNonNull(checkpoint, "checkpoint");
  }

  /** Returns this state without its checkpoint. */
  TaskRecordState withoutCheckpoint() {
    return new TaskRecordState(done, lastAttempt, failures, place, "");
  }
}
