package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * What is durable of one task.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param done whether a run ended as done
 * @param lastAttempt the highest attempt that was ever ordered; 0 for none
 * @param failures how many attempts failed
 * @param place where the last attempt is, while it may still run
 * @param checkpoint the newest progress saved; empty for none
 */
public record TaskRecordState(
    boolean done, int lastAttempt, int failures, Optional<Place> place, String checkpoint) {
  /** A task of which nothing was ever ordered. */
  public static final TaskRecordState NEW = new TaskRecordState(false, 0, 0, Optional.empty(), "");

  /** Checks the components. */
  public TaskRecordState {
    checkArgument(lastAttempt >= 0, "lastAttempt is negative: %s", lastAttempt);
    checkArgument(failures >= 0, "failures is negative: %s", failures);
    requireNonNull(place, "place");
    requireNonNull(checkpoint, "checkpoint");
  }
}
