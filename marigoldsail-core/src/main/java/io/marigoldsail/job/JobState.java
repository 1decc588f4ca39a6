package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

/**
 * State of a job, folded from the log up to some position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec the accepted specification
 * @param accepted the position of the record that accepted it
 * @param acceptedMillis when its entry accepted it, in milliseconds since the Unix epoch
 * @param cancelReason the reason of its cancellation, or empty if it was not cancelled
 * @param waiting number of waiting tasks
 * @param claimed number of claimed tasks
 * @param done number of tasks that ended with success
 * @param cancelled number of tasks that ended as cancelled
 * @param failed number of tasks that ended without success
 */
public record JobState(
    JobSpec spec,
    long accepted,
    long acceptedMillis,
    String cancelReason,
    int waiting,
    int claimed,
    int done,
    int cancelled,
    int failed) {
  /** Checks the components. */
  public JobState {
    requireNonNull(spec, "spec");
    requireNonNull(cancelReason, "cancelReason");
  }

  /** Returns whether all of its tasks have ended. */
  public boolean ended() {
    return waiting == 0 && claimed == 0;
  }
}
