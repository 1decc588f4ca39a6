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
 * The stream {@code tasks} through the {@link LogAppender} of a follower that folds into a {@link
 * TaskFold}: an append completes after its fold.
 */
public final class AppenderTaskLog implements TaskLog {
  /**
   * How long a record may wait for the log. Longer than a slow append, short enough that an outage
   * does not pile up decisions made on a view from before it.
   */
  private static final long APPEND_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final LogAppender appender;
  private final MonotonicClock clock;

  /**
   * Creates the way to append.
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
        .thenApply(result -> result.then(place -> Result.ok(TaskFold.position(place))));
  }
}
