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
 * The ends of runs of one worker's life that no owner has made durable yet.
 *
 * <p>A worker forgets ends in the order of their numbers, so the number that may be forgotten stays
 * below the oldest end that nobody has noted. Confined to one thread.
 */
final class UnacknowledgedEnds {
  private final Map<RunKey, EndReport> ends = new LinkedHashMap<>();
  private final TreeMap<Long, RunKey> unacknowledged = new TreeMap<>();
  private final Set<Long> seenSequences = new HashSet<>();
  private long acknowledgedUpTo;
  private long highestSequence;

  /** Returns whether the end is listed for the first time. */
  boolean recordSequence(long sequence) {
    highestSequence = Math.max(highestSequence, sequence);
    return sequence > acknowledgedUpTo && seenSequences.add(sequence);
  }

  /** Keeps an end; of one that the worker does not list the sequence is 0. */
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

  /** Forgets an end that is durable; returns whether it was kept. */
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

  /** Returns the number up to which the worker may forget. */
  long acknowledgedUpTo() {
    return acknowledgedUpTo;
  }

  /** Returns whether every end that the worker lists is durable. */
  boolean isAllAcknowledged() {
    return unacknowledged.isEmpty();
  }
}
