package io.marigoldsail.configuration;

import static java.util.Objects.requireNonNull;

/** The fold's decision on one record; the same in every process. */
sealed interface PublishOutcome {
  /** The record created a revision. */
  record Accepted(long revision) implements PublishOutcome {}

  /** The record was checked against a former revision; another record was accepted first. */
  record Stale(long currentRevision) implements PublishOutcome {}

  /** The record violates a rule, so no publisher of this version has checked it. */
  record Invalid(String reason) implements PublishOutcome {
    public Invalid {
      requireNonNull(reason, "reason");
    }
  }
}
