package io.marigoldsail.daemon.workflow;

import com.google.common.collect.Collections2;
import com.google.common.collect.ImmutableList;
import io.marigoldsail.daemon.identity.WorkflowIdCodec;
import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The ends of runs on one worker incarnation that their owners have not yet acknowledged as
 * durable.
 *
 * <p>A worker discards ends in the order of their sequence numbers, so the acknowledged number
 * stays below the oldest unacknowledged end. A withheld end is no longer reported, and the worker
 * keeps it until it is released. Confined to one thread.
 */
final class UnacknowledgedEnds {
  /**
   * An end that has not been acknowledged.
   *
   * @param orderedAt when the run was ordered
   */
  record End(EndReport report, WorkerLease.Mark orderedAt) {
    RunOutcome outcome() {
      return WorkflowCodec.outcome(report);
    }
  }

  private final Map<RunKey, End> ends = new LinkedHashMap<>();
  private final Map<RunKey, End> withheld = new LinkedHashMap<>();
  private final TreeMap<Long, RunKey> unacknowledged = new TreeMap<>();
  private final Set<Long> seenSequences = new HashSet<>();
  private long acknowledgedUpTo;
  private long highestSequence;

  /** Records the sequence number of a listed end and returns whether it is new. */
  boolean recordSequence(long sequence) {
    highestSequence = Math.max(highestSequence, sequence);
    return sequence > acknowledgedUpTo && seenSequences.add(sequence);
  }

  /**
   * Adds an end.
   *
   * @param sequence the worker's sequence number of the end; 0 if the worker does not list it
   * @param orderedAt when the run was ordered
   */
  void add(
      RunKey run,
      RunOutcome outcome,
      String checkpoint,
      long sequence,
      String reason,
      WorkerLease.Mark orderedAt) {
    EndReport report =
        EndReport.newBuilder()
            .setTask(WorkflowIdCodec.encode(run).toBuilder().setEndSequence(sequence))
            .setOutcome(WorkflowCodec.number(outcome))
            .setRejected(outcome == RunOutcome.REJECTED)
            .setCheckpoint(checkpoint)
            .setSequence(sequence)
            .setReason(reason)
            .build();
    ends.put(run, new End(report, orderedAt));
    if (sequence > 0) {
      unacknowledged.put(sequence, run);
    }
  }

  Optional<End> find(RunKey run) {
    return Optional.ofNullable(ends.get(run));
  }

  /** Removes an end that its owner has made durable; returns whether it was present. */
  boolean acknowledge(RunKey run) {
    End end = ends.remove(run);
    if (end == null) {
      return false;
    }
    discard(end);
    return true;
  }

  private void discard(End end) {
    unacknowledged.remove(end.report().getSequence());
    acknowledgedUpTo = unacknowledged.isEmpty() ? highestSequence : unacknowledged.firstKey() - 1;
    seenSequences.removeIf(sequence -> sequence <= acknowledgedUpTo);
  }

  /** Stops reporting an end that the worker lists, but keeps it and all later ones there. */
  void withhold(RunKey run) {
    withheld.put(run, ends.remove(run));
  }

  /** Lets the worker discard the withheld ends of runs ordered at matching times. */
  ImmutableList<RunKey> releaseWithheld(Predicate<WorkerLease.Mark> orderedAt) {
    ImmutableList.Builder<RunKey> released = ImmutableList.builder();
    for (Map.Entry<RunKey, End> each : Map.copyOf(withheld).entrySet()) {
      if (orderedAt.test(each.getValue().orderedAt())) {
        withheld.remove(each.getKey());
        discard(each.getValue());
        released.add(each.getKey());
      }
    }
    return released.build();
  }

  /** Returns how many ends the worker keeps because of withheld ones; 0 if none is withheld. */
  long keptCount() {
    return withheld.isEmpty() ? 0 : highestSequence - acknowledgedUpTo;
  }

  boolean contains(RunKey run) {
    return ends.containsKey(run);
  }

  Collection<EndReport> all() {
    return Collections2.transform(ends.values(), End::report);
  }

  /** Returns the sequence number up to which the worker may discard ends. */
  long acknowledgedUpTo() {
    return acknowledgedUpTo;
  }

  /** Returns whether the worker may discard every end that it lists. */
  boolean isAllAcknowledged() {
    return unacknowledged.isEmpty();
  }

  /** Returns whether an end that the worker lists awaits the response of its owner. */
  boolean isAwaitingOwners() {
    return unacknowledged.size() > withheld.size();
  }
}
