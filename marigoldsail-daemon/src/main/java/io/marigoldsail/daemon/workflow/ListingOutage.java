package io.marigoldsail.daemon.workflow;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.daemon.observe.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Tracks consecutive unanswered listings of a worker and produces their log lines: one at the start
 * of an outage, then at most one in five seconds, and one at its end. Confined to the loop's
 * thread.
 */
final class ListingOutage {
  /** Minimum interval between two log lines about the same outage, in nanoseconds. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String worker;
  private int failures;
  private long since;
  private long nextLogAt;

  ListingOutage(String worker) {
    this.worker = requireNonNull(worker, "worker");
  }

  /** Returns whether the last listing went unanswered. */
  boolean isOngoing() {
    return failures > 0;
  }

  /** Records an unanswered listing; returns the log line to write, if any. */
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

  /** Records an answered listing; returns a log line if this ends an outage. */
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
