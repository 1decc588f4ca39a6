package io.marigoldsail.daemon.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Parameters of the deployment that an entry uses.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param lease durations of worker leases
 * @param endedRetentionMillis how long the status of an ended workflow is retained, in milliseconds
 * @param maxConfigurationAgeMillis for how long a configuration may be applied to new requests
 *     after it was last known to be the newest one, in milliseconds
 * @param maxEvacuationsAgeMillis for how long runs may be ordered after the evacuations of zones
 *     were last known to be the newest ones, in milliseconds; empty where zones are not evacuated
 * @param farRackFactor slowdown factor of a task that runs on another rack than its data
 * @param ownerProcessorsMilli the processors of this entry, in thousandths, where entries with few
 *     processors stand by; empty where every entry owns partitions
 * @param maxRetainedBytes the estimated memory of the workflows that an entry may be given, in
 *     bytes
 */
public record EntryParameters(
    WorkerLeaseTerms lease,
    long endedRetentionMillis,
    long maxConfigurationAgeMillis,
    OptionalLong maxEvacuationsAgeMillis,
    double farRackFactor,
    OptionalInt ownerProcessorsMilli,
    long maxRetainedBytes) {
  /** Checks the components. */
  public EntryParameters {
    requireNonNull(lease, "lease");
    requireNonNull(maxEvacuationsAgeMillis, "maxEvacuationsAgeMillis");
    requireNonNull(ownerProcessorsMilli, "ownerProcessorsMilli");
    checkArgument(maxRetainedBytes > 0, "maxRetainedBytes is not positive: %s", maxRetainedBytes);
  }
}
