package io.marigoldsail.daemon.task;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskRecord;
import java.util.concurrent.CompletableFuture;

/** The stream {@code tasks} as entries append to it. Safe for any thread; does not block. */
@FunctionalInterface
public interface TaskLog {
  /**
   * Appends a record and completes with its position once it has been read back and folded into the
   * table; never exceptionally. A failure of kind {@code LOG_OUTCOME_UNKNOWN} may be folded yet.
   */
  CompletableFuture<Result<Long>> append(TaskRecord record);
}
