package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.WorkerLeaseTerms;

/**
 * What an entry needs to know of the deployment.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param lease the lengths of leases
 * @param endedRetentionMillis how long the status of a workflow is told after its end, in
 *     milliseconds
 * @param farRackFactor how many times as long a task takes on another rack than its data
 */
public record EntryParameters(
    WorkerLeaseTerms lease, long endedRetentionMillis, double farRackFactor) {
  /** Checks the components. */
  public EntryParameters {
    requireNonNull(lease, "lease");
  }
}
