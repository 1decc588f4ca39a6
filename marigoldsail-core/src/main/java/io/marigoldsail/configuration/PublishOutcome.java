package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

/** What the fold decided on one record; the same in every process. */
sealed interface PublishOutcome {
  /** The record made a revision. */
  record Accepted(long revision) implements PublishOutcome {}

  /** Another record came first; the record was checked against a revision that is past. */
  record Stale(long currentRevision) implements PublishOutcome {}

  /** The record breaks a rule, so it was never checked by a publisher of this version. */
  record Invalid(String reason) implements PublishOutcome {
    public Invalid {
      requireNonNull(reason, "reason");
    }
  }
}
