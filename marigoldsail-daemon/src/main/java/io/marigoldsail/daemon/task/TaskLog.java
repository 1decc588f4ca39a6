package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskRecord;
import java.util.concurrent.CompletableFuture;

/** Appends to the stream {@code tasks}. Thread-safe; does not block. */
@FunctionalInterface
public interface TaskLog {
  /**
   * Appends a record and completes with its position once the record has been read back and folded
   * into the table. Never completes exceptionally. After a failure of kind {@code
   * LOG_OUTCOME_UNKNOWN} the record may still be folded.
   */
  CompletableFuture<Result<Long>> append(TaskRecord record);
}
