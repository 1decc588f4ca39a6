package io.marigoldsail.configuration;

/**
 * How long the leases of tasks last.
 *
 * <p>Immutable. A longer lease outlives a longer outage of the log; a shorter one fails over sooner
 * from a VM that died silently.
 *
 * @param latencyCriticalMillis the lease of a latency-critical task, in milliseconds
 * @param batchMillis the lease of a batch task, in milliseconds
 */
public record LeaseConfiguration(long latencyCriticalMillis, long batchMillis) {
  /** What holds where no file says otherwise; chosen by the table in docs/proofs-tasks.md. */
  public static final LeaseConfiguration DEFAULT = new LeaseConfiguration(30_000, 120_000);
}
