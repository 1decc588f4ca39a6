package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Whether a worker leaves listings unanswered, and what is logged of it: the beginning, from then
 * on at most one line in five seconds, and the end. Confined to the loop's thread.
 */
final class ListingOutage {
  /** Between two lines about the same silence, in nanoseconds. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String worker;
  private int failures;
  private long since;
  private long nextLogAt;

  ListingOutage(String worker) {
    this.worker = requireNonNull(worker, "worker");
  }

  /** Returns whether the last listing was not answered. */
  boolean isOngoing() {
    return failures > 0;
  }

  /** Takes a listing without an answer; returns the line that is due, if one is. */
  Optional<LogLine> recordFailure(String reason, long now) {
    failures++;
    if (failures == 1) {
      since = now;
    } else if (now < nextLogAt) {
      return Optional.empty();
    }
    nextLogAt = now + LOG_INTERVAL_NANOS;
    return Optional.of(line("worker-silent", now).with("reason", reason));
  }

  /** Takes an answer; returns the line that is due if it ends a silence. */
  Optional<LogLine> recordSuccess(long now) {
    if (failures == 0) {
      return Optional.empty();
    }
    LogLine line = line("worker-answers-again", now);
    failures = 0;
    return Optional.of(line);
  }

  private LogLine line(String event, long now) {
    return LogLine.of(event)
        .with("worker", worker)
        .with("failures", failures)
        .with("silent_ms", TimeUnit.NANOSECONDS.toMillis(now - since));
  }
}
