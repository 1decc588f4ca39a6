package io.marigoldsail.daemon.progress;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.marigoldsail.workflow.TaskRecordState;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowId;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowSpec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * The progress of workflows whose submissions have not been read yet, as it is in the store: far
 * smaller than the objects that it stands for. Confined to one thread.
 */
public final class UnclaimedProgress {
  private final Function<ByteString, Optional<WorkflowRecordState>> decoder;
  private final Map<WorkflowId, TreeMap<Integer, ByteString>> partsOf = new HashMap<>();

  /**
   * Creates an empty instance.
   *
   * @param decoder returns the state in a record, or empty if it cannot be decoded
   */
  public UnclaimedProgress(Function<ByteString, Optional<WorkflowRecordState>> decoder) {
    this.decoder = requireNonNull(decoder, "decoder");
  }

  /** Adds a part; returns whether it can be decoded and be one of a workflow. */
  public boolean add(WorkflowId workflow, int part, ByteString record) {
    boolean mayHoldTasks = part <= WorkflowSpec.MAX_TASKS / Workflow.TASKS_PER_PART;
    if (!mayHoldTasks || decoder.apply(record).isEmpty()) {
      return false;
    }
    partsOf.computeIfAbsent(workflow, unused -> new TreeMap<>()).put(part, record);
    return true;
  }

  /** Removes and returns the progress of the workflow; empty if there is none. */
  public Optional<WorkflowRecordState> remove(WorkflowId workflow) {
    return Optional.ofNullable(partsOf.remove(workflow)).map(this::join);
  }

  /** Removes all progress and passes it to the consumer, by workflow. */
  public void drain(BiConsumer<WorkflowId, WorkflowRecordState> consumer) {
    partsOf.forEach((workflow, parts) -> consumer.accept(workflow, join(parts)));
    partsOf.clear();
  }

  /**
   * Joins the parts. The first one may be of a version that knew no others, and hold all tasks;
   * later parts are newer then.
   */
  private WorkflowRecordState join(TreeMap<Integer, ByteString> parts) {
    WorkflowRecordState first =
        parts.containsKey(0) ? decode(parts.get(0)) : WorkflowRecordState.NEW;
    if (parts.size() == 1 && parts.containsKey(0)) {
      return first;
    }
    List<TaskRecordState> tasks = new ArrayList<>(first.tasks());
    parts
        .tailMap(1)
        .forEach(
            (part, record) -> {
              ImmutableList<TaskRecordState> ofPart = decode(record).tasks();
              int position = part * Workflow.TASKS_PER_PART;
              int missing = position + ofPart.size() - tasks.size();
              tasks.addAll(Collections.nCopies(Math.max(0, missing), TaskRecordState.NEW));
              for (int i = 0; i < ofPart.size(); i++) {
                tasks.set(position + i, ofPart.get(i));
              }
            });
    return new WorkflowRecordState(
        first.status(), ImmutableList.copyOf(tasks), first.endedMillis(), first.service());
  }

  private WorkflowRecordState decode(ByteString record) {
    return decoder.apply(record).orElseThrow();
  }
}
