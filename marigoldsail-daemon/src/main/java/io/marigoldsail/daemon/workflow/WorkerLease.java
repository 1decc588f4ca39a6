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
 * The lease of one worker incarnation: a lower bound of the worker's clock, and the deadline until
 * which its runs may execute. All times are milliseconds of the worker's clock. Confined to the
 * loop's thread.
 */
final class WorkerLease {
  /**
   * Time after a restart within which an owner must send evidence, or else its runs are stopped, in
   * milliseconds.
   */
  private static final long OWNER_GRACE_MILLIS = 3_000;

  /** Assumed maximum by which a worker's clock runs slower than the local one, in percent. */
  private static final long DRIFT_PERCENT = 3;

  private final LinkLoop loop;
  private final LeaseLedger evidenceLedger;
  private final long firstReading;
  private final long predecessorDeadline;
  private long clock;
  private long readAt;
  private long deadline;
  private long sentDeadline;
  private long lapses;

  /**
   * When a run of a partition was ordered, in terms of what may have ended it since.
   *
   * @param interruptions how often the partition's evidence had been interrupted
   * @param lapses how often the lease had certainly expired
   */
  record Mark(int interruptions, long lapses) {}

  WorkerLease(LinkLoop loop, WorkerLeaseTerms terms, long firstReading) {
    this.loop = requireNonNull(loop, "loop");
    this.evidenceLedger = new LeaseLedger(terms);
    this.firstReading = firstReading;
    this.clock = firstReading;
    this.readAt = loop.now();
    // An earlier incarnation of this process may have extended the lease just before it ended.
    this.predecessorDeadline = firstReading + terms.leaseMillis();
    this.deadline = predecessorDeadline;
    this.sentDeadline = firstReading;
  }

  /**
   * Records the worker's clock as read from a response. One that was overtaken, or that waited
   * while this process was suspended, must not set the lower bound back.
   */
  void recordClock(long reading) {
    if (reading > clockLowerBound()) {
      clock = reading;
      readAt = loop.now();
    }
  }

  /** Returns a time that the worker's clock has certainly reached. */
  long clockLowerBound() {
    long elapsed = TimeUnit.NANOSECONDS.toMillis(loop.now() - readAt);
    return clock + elapsed * (100 - DRIFT_PERCENT) / 100;
  }

  /**
   * Records evidence that an owner held the partition at a time on the worker's clock; returns
   * whether its epoch is the highest so far.
   */
  boolean recordEvidence(int partition, long epoch, long workerClock) {
    // After a suspension of this machine, evidence may be newer than the lower bound.
    long reached = Math.max(clockLowerBound(), workerClock);
    evidenceLedger.recordInterruption(partition, reached);
    return evidenceLedger.observe(partition, epoch, workerClock);
  }

  /** Returns whether the evidence for the partition allows a run to start under the deadline. */
  boolean mayStart(int partition) {
    return evidenceLedger.mayStart(partition, deadline, clockLowerBound());
  }

  /**
   * Returns the latest deadline that the evidence has allowed to send. It may be lower than the one
   * that an earlier incarnation of this process may have sent, which must not be sent again: that
   * one may exceed the evidence for the runs found on the worker.
   */
  long sentDeadline() {
    return sentDeadline;
  }

  /**
   * Returns whether starts that an earlier incarnation of this process sent may have deadlines that
   * have not passed; the worker refuses the others.
   */
  boolean mayExecutePredecessorStarts() {
    return clockLowerBound() <= predecessorDeadline;
  }

  /** Returns whether an owner has held the partition since this process found the worker. */
  boolean hasEvidenceSinceFirstReading(int partition) {
    return evidenceLedger.hasEvidenceSince(partition, firstReading);
  }

  /** Returns whether the worker's clock has certainly passed the latest deadline. */
  boolean isExpired() {
    return clockLowerBound() > deadline;
  }

  /**
   * Extends the deadline as far as the evidence for the partitions allows.
   *
   * @param partitions the partitions of all runs that are, or may become, active on the worker
   * @return the new deadline; empty if it is unchanged
   */
  OptionalLong extend(Set<Integer> partitions) {
    OptionalLong newDeadline = evidenceLedger.deadline(partitions);
    if (newDeadline.isEmpty() || newDeadline.getAsLong() <= sentDeadline) {
      return OptionalLong.empty();
    }
    sentDeadline = newDeadline.getAsLong();
    if (sentDeadline > deadline) {
      lapses = lapses();
      deadline = sentDeadline;
    }
    return newDeadline;
  }

  /** Returns the mark of a run of the partition that is ordered now. */
  Mark mark(int partition) {
    return new Mark(evidenceLedger.interruptions(partition), lapses());
  }

  private long lapses() {
    return isExpired() ? lapses + 1 : lapses;
  }

  /** Returns whether the lease has certainly expired since, which ended all runs of that time. */
  boolean hasLapsedSince(Mark mark) {
    return lapses() > mark.lapses();
  }

  /** Returns whether an owner of the partition may have considered a run of that time as lost. */
  boolean mayHaveTakenOver(int partition, Mark mark) {
    evidenceLedger.recordInterruption(partition, clockLowerBound());
    return evidenceLedger.interruptions(partition) > mark.interruptions();
  }

  /**
   * Returns the partitions whose runs must be stopped because their evidence is too old or missing.
   */
  Set<Integer> overduePartitions(Collection<Integer> partitions) {
    long now = clockLowerBound();
    Set<Integer> overdue = new HashSet<>(evidenceLedger.overdue(partitions, now));
    if (now > firstReading + OWNER_GRACE_MILLIS) {
      List<Integer> withoutEvidence =
          partitions.stream().filter(evidenceLedger::hasNoEvidence).toList();
      overdue.addAll(withoutEvidence);
    }
    return overdue;
  }
}
