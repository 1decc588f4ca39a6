package io.marigoldsail.daemon.workflow;

import io.marigoldsail.daemon.observe.LogLine;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingFailed;
import io.marigoldsail.daemon.workflow.WorkerGateway.ListingResult;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The health of a worker: it is unhealthy, and gets no new work, while it leaves listings
 * unanswered and for a backoff time after it refused an order or left one unanswered. Also stores
 * the value last reported to the entries. Confined to the loop's thread.
 */
final class WorkerHealth {
  /** How long a worker gets no new work after a refused or unanswered order, in nanoseconds. */
  private static final long BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final ListingOutage outage;
  private long backoffUntil = Long.MIN_VALUE;
  private boolean reportedUnhealthy;
  private boolean fenced;

  WorkerHealth(String worker) {
    this.outage = new ListingOutage(worker);
  }

  /** Records that the worker refused an order or did not respond to it. */
  void recordFailure(long now) {
    backoffUntil = now + BACKOFF_NANOS;
  }

  /** Records a listing that failed; returns the log line to write, if any. */
  Optional<LogLine> recordListingFailure(ListingResult result, long now) {
    recordFailure(now);
    fenced = result instanceof ListingFailed failed && failed.fenced();
    return outage.recordFailure(result.toString(), now);
  }

  /** Returns whether the last listing was refused, as another process has fenced the worker. */
  boolean isFenced() {
    return fenced;
  }

  /** Records an answered listing; returns a log line if this ends an outage. */
  Optional<LogLine> recordListing(long now) {
    fenced = false;
    return outage.recordSuccess(now);
  }

  /** Returns whether the last listing went unanswered. */
  boolean isUnresponsive() {
    return outage.isOngoing();
  }

  /** Returns whether the worker gets no new work now. */
  boolean isUnhealthy(long now) {
    return isUnresponsive() || now < backoffUntil;
  }

  /** Stores whether the VM is reported as unhealthy; returns whether the value has changed. */
  boolean updateReported(boolean unhealthy) {
    boolean changed = reportedUnhealthy != unhealthy;
    reportedUnhealthy = unhealthy;
    return changed;
  }
}
