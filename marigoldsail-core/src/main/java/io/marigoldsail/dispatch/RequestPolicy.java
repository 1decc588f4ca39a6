package io.marigoldsail.dispatch;

import java.util.List;

/**
 * Makes all scheduling decisions of one entry: the order of requests, queueing, refusals and the
 * choice of target.
 *
 * <p>An implementation is a state machine without network, clock or threads: it is notified of
 * events with their time and returns the actions to take. It is confined to one thread at a time.
 * Each request is answered exactly once: by a {@link Decision.Refuse}, or by a {@link
 * Decision.Send} whose attempt has a final outcome. A final outcome produces no decision; the owner
 * of the policy passes it to the caller. Times are readings of one {@link
 * io.marigoldsail.time.MonotonicClock}, in nanoseconds. No method accepts or returns null.
 */
public interface RequestPolicy {
  /** Handles a new request. */
  List<Decision> requestArrived(Arrival arrival, long now);

  /** Replaces the set of targets; targets missing from the list are removed. */
  List<Decision> targetsChanged(List<TargetState> targets, long now);

  /**
   * Handles a load report of a target's side process. A report that is part of a response may be
   * passed before or after {@link #attemptEnded}.
   */
  List<Decision> loadReported(String vm, TargetLoad load, long now);

  /**
   * Handles the outcome of an attempt. If the policy retries the request, a new {@link
   * Decision.Send} is returned now or later, and {@link #isPending} remains true.
   */
  List<Decision> attemptEnded(long request, String vm, AttemptOutcome outcome, long now);

  /** Handles the disconnection of the caller of a queued or sent request. */
  List<Decision> callerDisconnected(long request, long now);

  /** Returns whether the policy still tracks the request, queued or sent. */
  boolean isPending(long request);

  /**
   * Processes due timers: refuses requests that can no longer be served in time, and sends requests
   * whose backoff has ended.
   */
  List<Decision> wake(long now);

  /**
   * Returns the time at which {@link #wake} is due next, or {@link Long#MAX_VALUE} if no timer is
   * set.
   */
  long nextWake();
}
