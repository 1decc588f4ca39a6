package io.marigoldsail.daemon.progress;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.capacity.StoreLimits;
import io.marigoldsail.workflow.Workflow;
import io.marigoldsail.workflow.WorkflowRecordState;
import io.marigoldsail.workflow.WorkflowStatus;
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

  /** Encodes the state of a part. */
  public interface Encoder {
    /** Returns a record of at most the given length, in bytes. */
    ByteString encode(WorkflowRecordState state, int maxBytes);
  }

  private final Records records;
  private final StoreLimits limits;
  private final Encoder encoder;

  /** Creates a writer. */
  public ProgressWriter(Records records, StoreLimits limits, Encoder encoder) {
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
    return encoder.encode(workflow.recordOfPart(key.part()), limits.maxValueBytes(key.toString()));
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
