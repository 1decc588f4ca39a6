package io.marigoldsail.daemon.workflow;

import io.marigoldsail.protocol.EndReport;
import io.marigoldsail.workflow.RunKey;
import io.marigoldsail.workflow.RunOutcome;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The ends of runs on one worker incarnation that their owners have not yet acknowledged as
 * durable.
 *
 * <p>A worker discards ends in the order of their sequence numbers, so the acknowledged number
 * stays below the oldest unacknowledged end. Confined to one thread.
 */
final class UnacknowledgedEnds {
  private final Map<RunKey, EndReport> ends = new LinkedHashMap<>();
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
   */
  void add(RunKey run, RunOutcome outcome, String checkpoint, long sequence, String reason) {
    ends.put(
        run,
        EndReport.newBuilder()
            .setTask(WorkflowCodec.encode(run))
            .setOutcome(outcome.number())
            .setCheckpoint(checkpoint)
            .setSequence(sequence)
            .setReason(reason)
            .build());
    if (sequence > 0) {
      unacknowledged.put(sequence, run);
    }
  }

  /** Removes an end that its owner has made durable; returns whether it was present. */
  boolean acknowledge(RunKey run) {
    EndReport end = ends.remove(run);
    if (end == null) {
      return false;
    }
    unacknowledged.remove(end.getSequence());
    acknowledgedUpTo = unacknowledged.isEmpty() ? highestSequence : unacknowledged.firstKey() - 1;
    seenSequences.removeIf(sequence -> sequence <= acknowledgedUpTo);
    return true;
  }

  boolean contains(RunKey run) {
    return ends.containsKey(run);
  }

  Collection<EndReport> all() {
    return ends.values();
  }

  /** Returns the sequence number up to which the worker may discard ends. */
  long acknowledgedUpTo() {
    return acknowledgedUpTo;
  }

  /** Returns whether the owners have acknowledged every end that the worker lists. */
  boolean isAllAcknowledged() {
    return unacknowledged.isEmpty();
  }
}
