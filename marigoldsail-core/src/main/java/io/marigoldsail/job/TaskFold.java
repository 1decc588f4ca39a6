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
 * <p>An entry that is no task record, or a broken one, folds to nothing in every process alike.
 */
public final class TaskFold implements Fold {
  /** The name of the stream. */
  public static final String STREAM = "tasks";

  private static final int INDEX_BITS = 16;

  private final TaskTable table;

  /** Creates a fold into an empty table. */
  public TaskFold(TaskTable table) {
    this.table = requireNonNull(table, "table");
  }

  /**
   * Returns a place in the log as one number, in the order of the log; claims use it as fencing
   * token.
   *
   * @throws IllegalArgumentException if the platform record holds more entries than any process
   *     writes into one
   */
  public static long position(Position place) {
    checkArgument(place.index() < 1 << INDEX_BITS, "index is too large: %s", place.index());
    return (place.offset() << INDEX_BITS) + place.index();
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
