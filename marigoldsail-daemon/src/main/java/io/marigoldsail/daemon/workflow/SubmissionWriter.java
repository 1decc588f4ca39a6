package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Writes what callers hand in; what comes while an append to a partition is on its way goes with
 * the next.
 *
 * <p>Load pattern: many callers at once. Without batching each costs a call to a store that takes a
 * limited number of calls from all entries together. Confined to the loop's thread.
 */
final class SubmissionWriter {
  /** Submissions of one append at most: with the longest programs well under 1 MB. */
  private static final int MAX_BATCH = 64;

  private record PendingSubmission(KeyedRecord submission, Consumer<AppendResult> onResult) {}

  private final WorkflowStore store;
  private final LinkLoop loop;
  private final Map<Integer, List<PendingSubmission>> pending = new HashMap<>();
  private final Map<Integer, Boolean> inFlight = new HashMap<>();

  SubmissionWriter(WorkflowStore store, LinkLoop loop) {
    this.store = requireNonNull(store, "store");
    this.loop = requireNonNull(loop, "loop");
  }

  /** Writes the submission; {@code told} runs on the loop with the result. */
  void write(int partition, KeyedRecord submission, Consumer<AppendResult> told) {
    pending
        .computeIfAbsent(partition, unused -> new ArrayList<>())
        .add(new PendingSubmission(submission, told));
    flush(partition);
  }

  private void flush(int partition) {
    List<PendingSubmission> queue = pending.getOrDefault(partition, List.of());
    if (queue.isEmpty() || inFlight.getOrDefault(partition, false)) {
      return;
    }
    List<PendingSubmission> head = queue.subList(0, Math.min(MAX_BATCH, queue.size()));
    List<PendingSubmission> batch = List.copyOf(head);
    head.clear();
    inFlight.put(partition, true);
    store
        .append(
            Topic.SUBMISSIONS,
            partition,
            batch.stream().map(PendingSubmission::submission).toList(),
            Optional.empty())
        .thenAccept(
            result ->
                loop.run(
                    () -> {
                      inFlight.put(partition, false);
                      batch.forEach(each -> each.onResult().accept(result));
                      flush(partition);
                    }));
  }
}
