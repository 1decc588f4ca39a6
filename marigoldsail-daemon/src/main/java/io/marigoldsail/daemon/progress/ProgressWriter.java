package io.marigoldsail.daemon.progress;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.capacity.StoreLimits;
import io.marigoldsail.daemon.observe.EventLog;
import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowStatus;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Writes the progress of workflows in parts, of which each fits into a record of the store; only
 * the parts that have changed are written. Confined to one thread.
 */
public final class ProgressWriter {
  /** Writes records; the newest value of a key replaces one that is not sent yet. */
  public interface Records {
    /**
     * Writes a record.
     *
     * @param value called when the record is sent
     * @param onDurable runs once the value is durable
     */
    void write(String key, Supplier<ByteString> value, Runnable onDurable);
  }

  private static final EventLog LOG = EventLog.of(ProgressWriter.class);

  /** What a checkpoint adds to a record beside its text: tag, length, and that of its task. */
  private static final int CHECKPOINT_OVERHEAD_BYTES = 8;

  private final Records records;
  private final StoreLimits limits;
  private final Function<WorkflowRecordState, ByteString> encoder;

  /**
   * Creates a writer.
   *
   * @param encoder returns the record of a state, of any length
   */
  public ProgressWriter(
      Records records, StoreLimits limits, Function<WorkflowRecordState, ByteString> encoder) {
    this.records = requireNonNull(records, "records");
    this.limits = requireNonNull(limits, "limits");
    this.encoder = requireNonNull(encoder, "encoder");
  }

  /**
   * Writes what has changed of the workflow; its status counts as durable once it is.
   *
   * @param id the key of the workflow
   */
  public void write(String id, Workflow workflow) {
    // The first part comes last: of an earlier version it holds all tasks until then.
    workflow.takeChangedParts().stream()
        .filter(part -> part > 0)
        .forEach(part -> write(new ProgressKey(id, part), workflow, () -> {}));
    WorkflowStatus[] written = new WorkflowStatus[1];
    records.write(
        id,
        () -> {
          written[0] = workflow.status();
          return encode(new ProgressKey(id, 0), workflow);
        },
        () -> workflow.setDurableStatus(written[0]));
  }

  private void write(ProgressKey key, Workflow workflow, Runnable onDurable) {
    records.write(key.toString(), () -> encode(key, workflow), onDurable);
  }

  private ByteString encode(ProgressKey key, Workflow workflow) {
    return encode(key, workflow.recordOfPart(key.part()), limits.maxValueBytes(key.toString()));
  }

  /**
   * Returns a record of at most the given length, without the checkpoints that are longer than
   * their share of it: a task without its checkpoint starts over, one whose state cannot be written
   * never ends.
   */
  public ByteString encode(ProgressKey key, WorkflowRecordState state, int maxBytes) {
    ByteString record = encoder.apply(state);
    if (record.size() <= maxBytes) {
      return record;
    }
    int bytesOfRest = encoder.apply(state.withCheckpointsUpTo(0)).size();
    int share = Math.max(0, maxBytes - bytesOfRest) / Math.max(1, state.tasks().size());
    int longest = Math.max(0, share - CHECKPOINT_OVERHEAD_BYTES);
    LOG.warning(
        LogLine.of("checkpoints-left-out")
            .with("key", key)
            .with("bytes", record.size())
            .with("max_bytes", maxBytes)
            .with("longest_kept", longest));
    return encoder.apply(state.withCheckpointsUpTo(longest));
  }

  /**
   * Drops all records of the workflow. The first part, which tells that the workflow has ended,
   * comes last: another part alone would be taken for progress of a workflow submitted anew.
   */
  public void drop(String id, Workflow workflow) {
    workflow.usedParts().stream()
        .filter(part -> part > 0)
        .mapToObj(part -> new ProgressKey(id, part).toString())
        .forEach(key -> records.write(key, () -> ByteString.EMPTY, () -> {}));
    records.write(id, () -> ByteString.EMPTY, () -> {});
  }
}
