package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.LogLine;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Whether a worker is given nothing, since it refused or left unanswered what it was asked, and
 * whether what entries were last told of that still holds. Confined to the loop's thread.
 */
final class WorkerHealth {
  /** How long a worker that refuses or does not answer gets no new work, in nanoseconds. */
  private static final long REST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final WorkerSilence silence;
  private long restsUntil = Long.MIN_VALUE;
  private boolean told;

  WorkerHealth(String worker) {
    this.silence = new WorkerSilence(worker);
  }

  /** Notes that the worker refused an order, or did not answer it. */
  void failed(long now) {
    restsUntil = now + REST_NANOS;
  }

  /** Takes a listing without an answer; returns the line that is due, if one is. */
  Optional<LogLine> unanswered(String reason, long now) {
    failed(now);
    return silence.failed(reason, now);
  }

  /** Takes a listing; returns the line that is due if it ends a silence. */
  Optional<LogLine> answered(long now) {
    return silence.answered(now);
  }

  /** Returns whether the last listing was not answered. */
  boolean isSilent() {
    return silence.lasts();
  }

  /** Returns whether the worker is given nothing for now. */
  boolean isBad(long now) {
    return isSilent() || now < restsUntil;
  }

  /** Takes whether the VM takes nothing now; returns whether that is other than the last time. */
  boolean changes(boolean unhealthy) {
    boolean changes = told != unhealthy;
    told = unhealthy;
    return changes;
  }
}
