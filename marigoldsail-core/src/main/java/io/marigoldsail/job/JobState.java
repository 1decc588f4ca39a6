package io.marigoldsail.job;

import static java.util.Objects.requireNonNull;

/**
 * A job as folded from the log up to some position.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param spec what was asked for
 * @param accepted the position where it was accepted
 * @param acceptedMillis when its entry accepted it, in milliseconds since the Unix epoch
 * @param cancelReason why it was cancelled, or empty
 * @param waiting how many of its tasks wait
 * @param claimed how many are claimed
 * @param done how many ended with success
 * @param cancelled how many ended as cancelled
 * @param failed how many ended without success
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
