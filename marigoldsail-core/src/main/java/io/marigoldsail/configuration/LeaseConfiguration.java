package io.marigoldsail.configuration;

/**
 * Durations of the leases of tasks.
 *
 * <p>Immutable. A longer lease survives a longer log outage; a shorter one allows earlier failover
 * from a VM that fails without notice.
 *
 * @param latencyCriticalMillis the lease of a latency-critical task, in milliseconds
 * @param batchMillis the lease of a batch task, in milliseconds
 */
public record LeaseConfiguration(long latencyCriticalMillis, long batchMillis) {
  /** The defaults for keys that no file sets; docs/proofs-tasks.md compares the alternatives. */
  public static final LeaseConfiguration DEFAULT = new LeaseConfiguration(30_000, 120_000);
}
