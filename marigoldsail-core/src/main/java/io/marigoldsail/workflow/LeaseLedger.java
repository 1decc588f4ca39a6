package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides how long the worker of one VM may run its tasks, on behalf of the side process.
 *
 * <p>Each run belongs to the owner of a partition, and that owner restarts it elsewhere once every
 * lease that the run can have has expired. The worker has one deadline for all its runs, so the
 * deadline follows the oldest evidence among the partitions that have runs here. Runs of a
 * partition whose owner has been silent for long are stopped, so that they do not end the others.
 * All times are on the worker's clock, in milliseconds: a side process that was suspended cannot
 * take its evidence for newer than it is.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class LeaseLedger {
  private record Evidence(long epoch, long workerClock) {}

  private final WorkerLeaseTerms terms;
  private final Map<Integer, Evidence> latestByPartition = new HashMap<>();
  private final Map<Integer, Integer> interruptions = new HashMap<>();

  /** Creates a ledger without evidence. */
  public LeaseLedger(WorkerLeaseTerms terms) {
    this.terms = requireNonNull(terms, "terms");
  }

  /**
   * Records evidence that the owner of the epoch owned the partition at the given time.
   *
   * @param partition the partition
   * @param epoch the owner's epoch
   * @param workerClock the time, on the worker's clock in milliseconds
   * @return whether the epoch is the highest seen; orders of lower epochs are rejected
   */
  public boolean observe(int partition, long epoch, long workerClock) {
    Evidence known = latestByPartition.get(partition);
    if (known != null && epoch < known.epoch()) {
      return false;
    }
    long clock = known == null ? workerClock : Math.max(workerClock, known.workerClock());
    latestByPartition.put(partition, new Evidence(epoch, clock));
    return true;
  }

  /**
   * Records that the partition is interrupted if its evidence is older than the lease at the given
   * time. Call this before each {@link #observe}, which replaces the evidence.
   *
   * @param workerClock the current time, on the worker's clock in milliseconds
   */
  public void recordInterruption(int partition, long workerClock) {
    Evidence evidence = latestByPartition.get(partition);
    if (evidence != null && evidence.workerClock() + terms.leaseMillis() < workerClock) {
      interruptions.merge(partition, 1, Integer::sum);
    }
  }

  /**
   * Returns how often the partition has been interrupted; it rises with each recording.
   *
   * <p>An owner considers a run lost {@link WorkerLeaseTerms#takeoverMillis} after the last
   * evidence that it can have sent, so not while evidence keeps arriving before the previous one is
   * older than the lease, which is shorter. A run ordered at the present count is not considered
   * lost before the count rises.
   */
  public int interruptions(int partition) {
    return interruptions.getOrDefault(partition, 0);
  }

  /** Returns whether an owner has held the partition at the given time or later. */
  public boolean hasEvidenceSince(int partition, long workerClock) {
    Evidence evidence = latestByPartition.get(partition);
    return evidence != null && evidence.workerClock() >= workerClock;
  }

  /** Returns whether no evidence of an owner of the partition was ever received. */
  public boolean hasNoEvidence(int partition) {
    return !latestByPartition.containsKey(partition);
  }

  /**
   * Returns until when the worker may run, or empty if there is no partition or one has no
   * evidence.
   *
   * @param partitions the partitions that have runs here
   */
  public OptionalLong deadline(Collection<Integer> partitions) {
    long oldest = Long.MAX_VALUE;
    for (int partition : partitions) {
      Evidence evidence = latestByPartition.get(partition);
      if (evidence == null) {
        return OptionalLong.empty();
      }
      oldest = Math.min(oldest, evidence.workerClock());
    }
    return oldest == Long.MAX_VALUE
        ? OptionalLong.empty()
        : OptionalLong.of(oldest + terms.leaseMillis());
  }

  /**
   * Returns whether a run of the partition may start under the worker's current deadline.
   *
   * <p>Deadlines never shorten: a run that starts under a deadline beyond its owner's takeover
   * could still run after the owner has restarted it elsewhere.
   */
  public boolean mayStart(int partition, long workerDeadline, long workerClock) {
    Evidence evidence = latestByPartition.get(partition);
    return evidence != null
        && workerDeadline <= evidence.workerClock() + terms.boundMillis()
        && evidence.workerClock() + terms.leaseMillis() - terms.stopAheadMillis() > workerClock;
  }

  /** Returns those of the given partitions whose runs must be stopped now. */
  public List<Integer> overdue(Collection<Integer> partitions, long workerClock) {
    return partitions.stream()
        .filter(
            partition -> {
              Evidence evidence = latestByPartition.get(partition);
              return evidence != null
                  && evidence.workerClock() + terms.leaseMillis() - terms.stopAheadMillis()
                      <= workerClock;
            })
        .toList();
  }
}
