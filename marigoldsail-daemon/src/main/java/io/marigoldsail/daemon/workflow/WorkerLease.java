package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.workflow.LeaseLedger;
import io.marigoldsail.workflow.WorkerLeaseTerms;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The clock and the deadline of one worker's life. All times are milliseconds of the worker's
 * clock. Confined to the loop's thread.
 */
final class WorkerLease {
  /** How long after a restart owners may be silent before their runs are stopped, in millis. */
  private static final long OWNER_GRACE_MILLIS = 3_000;

  /** A worker's clock may run this much slower than ours, in percent. */
  private static final long DRIFT_PERCENT = 3;

  private final LinkLoop loop;
  private final LeaseLedger evidenceLedger;
  private final long firstReading;
  private long clock;
  private long readAt;
  private long deadline;

  WorkerLease(LinkLoop loop, WorkerLeaseTerms terms, long firstReading) {
    this.loop = requireNonNull(loop, "loop");
    this.evidenceLedger = new LeaseLedger(terms);
    this.firstReading = firstReading;
    recordClock(firstReading);
    // An earlier life of this process may have extended it up to now.
    this.deadline = firstReading + terms.leaseMillis();
  }

  /** Takes what the worker's clock showed in an answer. */
  void recordClock(long shown) {
    clock = shown;
    readAt = loop.now();
  }

  /** Returns a time that the worker's clock has surely reached. */
  long clockLowerBound() {
    long elapsed = TimeUnit.NANOSECONDS.toMillis(loop.now() - readAt);
    return clock + elapsed * (100 - DRIFT_PERCENT) / 100;
  }

  /** Takes evidence that an owner held its partition; returns whether its epoch is the highest. */
  boolean recordEvidence(int partition, long epoch, long at) {
    return evidenceLedger.observe(partition, epoch, at);
  }

  boolean mayStart(int partition) {
    return evidenceLedger.mayStart(partition, deadline, clockLowerBound());
  }

  /** Returns the deadline that the worker was last given, or may have been. */
  long deadline() {
    return deadline;
  }

  /** Returns whether the worker's clock has surely passed the last deadline it may have. */
  boolean isExpired() {
    return clockLowerBound() > deadline;
  }

  /** Moves the deadline as far as the partitions' evidence allows; empty if it stays. */
  OptionalLong extend(Set<Integer> partitions) {
    OptionalLong until = evidenceLedger.deadline(partitions);
    if (until.isEmpty() || until.getAsLong() <= deadline) {
      return OptionalLong.empty();
    }
    deadline = until.getAsLong();
    return until;
  }

  /** Returns the partitions whose runs must be stopped, since their owners are silent. */
  Set<Integer> overduePartitions(Collection<Integer> partitions) {
    long now = clockLowerBound();
    Set<Integer> overdue = new HashSet<>(evidenceLedger.overdue(partitions, now));
    if (now > firstReading + OWNER_GRACE_MILLIS) {
      List<Integer> unheard = partitions.stream().filter(evidenceLedger::hasNoEvidence).toList();
      overdue.addAll(unheard);
    }
    return overdue;
  }
}
