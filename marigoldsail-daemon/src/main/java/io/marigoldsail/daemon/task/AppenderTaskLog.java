package io.marigoldsail.daemon.task;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.error.Result;
import io.marigoldsail.job.TaskFold;
import io.marigoldsail.job.TaskRecord;
import io.marigoldsail.job.TaskRecordCodec;
import io.marigoldsail.log.LogAppender;
import io.marigoldsail.time.MonotonicClock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Appends to the stream {@code tasks} through the {@link LogAppender} of a follower that folds into
 * a {@link TaskFold}. An append completes after its record has been folded.
 *
 * <p>Thread-safe; does not block.
 */
public final class AppenderTaskLog implements TaskLog {
  /**
   * Time after which a record that was not appended is dropped. Longer than a slow append, but
   * short enough that decisions made before an outage are not written after it.
   */
  private static final long APPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final LogAppender appender;
  private final MonotonicClock clock;

  /**
   * Creates a task log.
   *
   * @param appender the appender of the stream
   * @param clock the appender's clock
   */
  public AppenderTaskLog(LogAppender appender, MonotonicClock clock) {
    this.appender = requireNonNull(appender, "appender");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public CompletableFuture<Result<Long>> append(TaskRecord record) {
    return appender
        .append(
            TaskRecordCodec.type(record),
            TaskRecordCodec.body(record),
            clock.nanos() + APPEND_TIMEOUT_NANOS)
        .thenApply(result -> result.then(position -> Result.ok(TaskFold.position(position))));
  }
}
