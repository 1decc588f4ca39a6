package io.marigoldsail.workflow;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Until when the worker of one VM may run what it runs: the side process's decision.
 *
 * <p>Each run belongs to the owner of a partition, and that owner moves it elsewhere once every
 * lease that it can have is over. The worker has one deadline for everything, so it follows the
 * partition with the oldest evidence among those that have runs here; what belongs to a partition
 * whose owner is silent for long is stopped, so that it does not end the others. All times are on
 * the worker's clock, in milliseconds: a side process that was suspended cannot make evidence
 * younger than it is.
 *
 * <p>Confined to one thread. Rejects nulls.
 */
public final class LeaseLedger {
  private record Evidence(long epoch, long workerClock) {}

  private final WorkerLeaseTerms terms;
  private final Map<Integer, Evidence> latestByPartition = new HashMap<>();

  /** Creates a ledger without evidence. */
  public LeaseLedger(WorkerLeaseTerms terms) {
    this.terms = requireNonNull(terms, "terms");
  }

  /**
   * Takes evidence that the owner of the epoch owned the partition at the time.
   *
   * @return whether the epoch is the highest seen; orders of lower ones are not carried out
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

  /** Returns whether no owner of the partition was ever heard. */
  public boolean hasNoEvidence(int partition) {
    return !latestByPartition.containsKey(partition);
  }

  /**
   * Returns until when the worker may run on, or empty if a partition has no evidence at all.
   *
   * @param partitions those that have runs here
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
   * Returns whether a run of the partition may start under the deadline that the worker has.
   *
   * <p>Deadlines never shorten: a run that starts under one that reaches beyond what its owner
   * waits for could still be at work after the owner ordered it elsewhere.
   */
  public boolean mayStart(int partition, long workerDeadline, long workerClock) {
    Evidence evidence = latestByPartition.get(partition);
    return evidence != null
        && workerDeadline <= evidence.workerClock() + terms.boundMillis()
        && evidence.workerClock() + terms.leaseMillis() - terms.stopAheadMillis() > workerClock;
  }

  /** Returns the partitions, of the given ones, whose runs must be stopped now. */
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
