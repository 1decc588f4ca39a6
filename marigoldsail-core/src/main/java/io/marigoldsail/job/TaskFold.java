package io.marigoldsail.job;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.marigoldsail.error.Result;
import io.marigoldsail.log.Fold;
import io.marigoldsail.log.LogEntry;
import io.marigoldsail.log.Position;

/**
 * Folds the stream {@code tasks} into a {@link TaskTable}.
 *
 * <p>Every process ignores the same log entries: those of an unknown type and those with an invalid
 * body.
 */
public final class TaskFold implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "tasks";

  private static final int INDEX_BITS = 16;

  private final TaskTable table;

  /** Creates a fold into the given table, which must be empty. */
  public TaskFold(TaskTable table) {
    this.table = requireNonNull(table, "table");
  }

  /**
   * Returns a position in the log as one number that increases along the log. The position of a
   * claim is the fencing token of its attempt.
   *
   * @throws IllegalArgumentException if the index within the platform record needs more than 16
   *     bits; no process writes that many entries into one record
   */
  public static long position(Position position) {
    checkArgument(position.index() < 1 << INDEX_BITS, "index is too large: %s", position.index());
    return (position.offset() << INDEX_BITS) + position.index();
  }

  @Override
  public void apply(LogEntry entry) {
    Result<TaskRecord> record = TaskRecordCodec.read(entry.type(), entry.body());
    if (record.isOk()) {
      table.apply(position(entry.position()), record.value());
    }
  }

  @Override
  public JsonNode snapshot() {
    return table.snapshot().toJson();
  }

  @Override
  public void restore(JsonNode snapshot) {
    Result<TaskTableSnapshot> read = TaskTableSnapshot.fromJson(snapshot);
    if (read instanceof Result.Failed<TaskTableSnapshot> failed) {
      throw new IllegalArgumentException(failed.failure().detail());
    }
    table.restore(read.value());
  }
}
