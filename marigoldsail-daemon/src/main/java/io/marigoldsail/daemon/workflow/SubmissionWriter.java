package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.capacity.StoreLimits;
import io.marigoldsail.daemon.link.LinkLoop;
import io.marigoldsail.daemon.workflow.WorkflowStore.AppendResult;
import io.marigoldsail.daemon.workflow.WorkflowStore.KeyedRecord;
import io.marigoldsail.daemon.workflow.WorkflowStore.SubmissionTooLarge;
import io.marigoldsail.daemon.workflow.WorkflowStore.Topic;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Writes submissions of callers, with one append per partition in flight; submissions that arrive
 * meanwhile are batched into the next append.
 *
 * <p>Without batching, each of many concurrent callers would cost a call to the store, which limits
 * the calls of all entries together. Confined to the loop's thread.
 */
final class SubmissionWriter {
  /** Maximum number of submissions per append; less if the store takes less at a time. */
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

  /** Returns the result for a submission that no record of the store can hold; else empty. */
  Optional<AppendResult> refuseIfTooLarge(KeyedRecord submission) {
    int bytes = submission.value().size();
    int maxBytes = store.limits().maxValueBytes(submission.key());
    return bytes > maxBytes
        ? Optional.of(new SubmissionTooLarge(bytes, maxBytes))
        : Optional.empty();
  }

  /**
   * Writes the submission.
   *
   * @param onResult runs on the loop with the result of the append
   */
  void write(int partition, KeyedRecord submission, Consumer<AppendResult> onResult) {
    pending
        .computeIfAbsent(partition, unused -> new ArrayList<>())
        .add(new PendingSubmission(submission, onResult));
    flush(partition);
  }

  private int batchSize(List<PendingSubmission> queue) {
    int bytes = 0;
    int size = 0;
    while (size < Math.min(MAX_BATCH, queue.size())) {
      KeyedRecord next = queue.get(size).submission();
      bytes += StoreLimits.bytesInCall(next.key(), next.value().size());
      if (size > 0 && bytes > store.limits().callBytes()) {
        break;
      }
      size++;
    }
    return size;
  }

  private void flush(int partition) {
    List<PendingSubmission> queue = pending.getOrDefault(partition, List.of());
    if (queue.isEmpty() || inFlight.getOrDefault(partition, false)) {
      return;
    }
    List<PendingSubmission> head = queue.subList(0, batchSize(queue));
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
