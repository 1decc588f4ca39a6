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
final class EndLedger {
  private final Map<RunKey, EndReport> ends = new LinkedHashMap<>();
  private final TreeMap<Long, RunKey> unnoted = new TreeMap<>();
  private final Set<Long> taken = new HashSet<>();
  private long noted;
  private long highest;

  /** Returns whether the end is listed for the first time. */
  boolean isNew(long sequence) {
    highest = Math.max(highest, sequence);
    return sequence > noted && taken.add(sequence);
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
      unnoted.put(sequence, run);
    }
  }

  /** Forgets an end that is durable; returns whether it was kept. */
  boolean note(RunKey run) {
    EndReport end = ends.remove(run);
    if (end == null) {
      return false;
    }
    unnoted.remove(end.getSequence());
    noted = unnoted.isEmpty() ? highest : unnoted.firstKey() - 1;
    taken.removeIf(sequence -> sequence <= noted);
    return true;
  }

  boolean has(RunKey run) {
    return ends.containsKey(run);
  }

  Collection<EndReport> all() {
    return ends.values();
  }

  /** Returns the number up to which the worker may forget. */
  long noted() {
    return noted;
  }

  /** Returns whether every end that the worker lists is durable. */
  boolean isAllNoted() {
    return unnoted.isEmpty();
  }
}
