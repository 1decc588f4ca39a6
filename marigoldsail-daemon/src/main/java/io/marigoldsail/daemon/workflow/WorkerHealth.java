package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The health of a worker: it is unhealthy, and gets no new work, while it leaves listings unanswered
 * and for a back-off time after it refused an order or left one unanswered. Also stores the value
 * last reported to the entries. Confined to the loop's thread.
 */
final class WorkerHealth {
  /** How long a worker gets no new work after a refused or unanswered order, in nanoseconds. */
  private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final WorkerSilence silence;
  private long restsUntil = Long.MIN_VALUE;
  private boolean told;

  WorkerHealth(String worker) {
    this.silence = new WorkerSilence(worker);
  }

  /** Records that the worker refused an order or did not answer it. */
  void failed(long now) {
    restsUntil = now + REST_NANOS;
  }

  /** Records an unanswered listing; returns the log line to write, if any. */
  Optional<LogLine> unanswered(String reason, long now) {
    failed(now);
    return silence.failed(reason, now);
  }

  /** Records an answered listing; returns a log line if this ends an outage. */
  Optional<LogLine> answered(long now) {
    return silence.answered(now);
  }

  /** Returns whether the last listing went unanswered. */
  boolean isSilent() {
    return silence.lasts();
  }

  /** Returns whether the worker gets no new work now. */
  boolean isBad(long now) {
    return isSilent() || now < restsUntil;
  }

  /** Stores whether the VM is reported as unhealthy; returns whether the value has changed. */
  boolean changes(boolean unhealthy) {
    boolean changed = told != unhealthy;
    told = unhealthy;
    return changed;
  }
}
