package io.marigoldsail.dispatch;

import java.util.List;

/**
 * All decisions of one entry about requests: whom to serve, who waits, who is refused, where each
 * goes.
 *
 * <p>An implementation is a state machine without network, clock or thread: it is told what
 * happened and when, and answers with what to do now. It is confined to one thread at a time. Every
 * arrival is answered exactly once: by a {@link Decision.Refuse}, or by a {@link Decision.Send}
 * whose attempt ends with an outcome that is not tried again, in which case the policy says nothing
 * and the owner hands the outcome on. Times are readings of one {@link
 * io.marigoldsail.time.MonotonicClock}, in nanoseconds. No method takes or returns null.
 */
public interface RequestPolicy {
  /** Tells that a request arrived. */
  List<Decision> requestArrived(Arrival arrival, long now);

  /** Tells which targets there are now; those missing from the list are gone. */
  List<Decision> targetsChanged(List<TargetState> targets, long now);

  /**
   * Tells what a target's side process last reported. Where the report rides on an answer, it may
   * be told before or after {@link #attemptEnded}.
   */
  List<Decision> loadReported(String vm, TargetLoad load, long now);

  /**
   * Tells how an attempt ended. Where the policy tries the request again, the decisions hold a new
   * {@link Decision.Send} now or later; {@link #isPending} tells whether that is so.
   */
  List<Decision> attemptEnded(long request, String vm, AttemptOutcome outcome, long now);

  /** Tells that the caller of a waiting or running request has gone. */
  List<Decision> callerDisconnected(long request, long now);

  /** Returns whether the policy still holds the request, waiting or sent. */
  boolean isPending(long request);

  /** Does what is due by time: gives up what can no longer be served, sends what has waited. */
  List<Decision> wake(long now);

  /** Returns when {@link #wake} is due next, or {@link Long#MAX_VALUE}. */
  long nextWake();
}
