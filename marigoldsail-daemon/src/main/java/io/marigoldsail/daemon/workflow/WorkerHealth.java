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
  private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ListingOutage outage;
  private long backoffUntil = Long.MIN_VALUE;
  private boolean reportedUnhealthy;

  WorkerHealth(String worker) {
    this.outage = new ListingOutage(worker);
  }

  /** Notes that the worker refused an order, or did not answer it. */
  void recordFailure(long now) {
    backoffUntil = now + BACKOFF_NANOS;
  }

  /** Takes a listing without an answer; returns the line that is due, if one is. */
  Optional<LogLine> recordListingFailure(String reason, long now) {
    recordFailure(now);
    return outage.recordFailure(reason, now);
  }

  /** Takes a listing; returns the line that is due if it ends a silence. */
  Optional<LogLine> recordListing(long now) {
    return outage.recordSuccess(now);
  }

  /** Returns whether the last listing was not answered. */
  boolean isUnresponsive() {
    return outage.isOngoing();
  }

  /** Returns whether the worker is given nothing for now. */
  boolean isUnhealthy(long now) {
    return isUnresponsive() || now < backoffUntil;
  }

  /** Takes whether the VM takes nothing now; returns whether that is other than the last time. */
  boolean updateReported(boolean unhealthy) {
    boolean changes = reportedUnhealthy != unhealthy;
    reportedUnhealthy = unhealthy;
    return changes;
  }
}
