package io.marigoldsail.dispatch;

import io.marigoldsail.admission.AdmissionPolicy;
import io.marigoldsail.admission.DrainRate;
import io.marigoldsail.admission.FairQueue;
import io.marigoldsail.admission.RetryAfterEstimator;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.retry.RetryPolicy;
import io.marigoldsail.routing.Route;
import io.marigoldsail.routing.Router;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Schedules the requests of one service by combining admission, routing and retries.
 *
 * <p>Each request is in exactly one state: queued, sent to a VM, or waiting for its next attempt.
 * Confined to the thread of its {@link RequestScheduler}.
 */
final class ServiceScheduler {
  private static final long NO_TARGET_RETRY_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A request is admitted only if this many mean service times remain after its wait. */
  private static final int MIN_SLACK_SERVICE_TIMES = 3;

  private final RandomGenerator random;
  private final Router router;
  private final RetryPolicy retries;
  private final RetryAfterEstimator retryAfterEstimator;
  private final AdmissionPolicy admission = new AdmissionPolicy();
  private final DrainRate drainRate = new DrainRate();
  private final FairQueue<ScheduledRequest> queue = new FairQueue<>();
  private final RequestTimers deadlines = new RequestTimers();
  private final RequestTimers dueRetries = new RequestTimers();
  private final Map<Long, ScheduledRequest> pending = new HashMap<>();
  private ServiceLimits limits;
  private long nextBackoffEnd = Long.MAX_VALUE;

  ServiceScheduler(String zone, ServiceLimits limits, RandomGenerator random) {
    this.limits = limits;
    this.random = random;
    this.router = new Router(zone, random);
    this.retries = new RetryPolicy(random);
    this.retryAfterEstimator = new RetryAfterEstimator(random);
  }

  /** Returns the refusal of a request whose service has no targets. */
  static Decision refusedWithoutTarget(Arrival arrival, RandomGenerator random) {
    long retryAfterMillis = NO_TARGET_RETRY_MILLIS + random.nextLong(NO_TARGET_RETRY_MILLIS);
    return new Decision.Refuse(
        arrival.request(),
        new Failure(
            ErrorKind.NO_TARGET,
            "no target available for service " + arrival.service(),
            retryAfterMillis));
  }

  void configure(ServiceLimits newLimits) {
    limits = newLimits;
  }

  boolean isIdle() {
    return router.isEmpty() && pending.isEmpty();
  }

  boolean isPending(long request) {
    return pending.containsKey(request);
  }

  List<String> ejectedVms() {
    return router.ejectedVms();
  }

  int waiting() {
    return queue.size();
  }

  List<Decision> requestArrived(Arrival arrival, long now) {
    List<Decision> decisions = new ArrayList<>();
    if (router.isEmpty()) {
      decisions.add(refusedWithoutTarget(arrival, random));
      return decisions;
    }
    AdmissionPolicy.Verdict verdict = admission.decide(queueState(arrival, now), now);
    if (verdict != AdmissionPolicy.Verdict.WAIT) {
      decisions.add(refuse(arrival, kindOf(verdict), now));
      return decisions;
    }
    ScheduledRequest request = new ScheduledRequest(arrival);
    pending.put(arrival.request(), request);
    enqueue(request);
    dispatch(decisions, now);
    return decisions;
  }

  private AdmissionPolicy.QueueState queueState(Arrival arrival, long now) {
    long slackNanos =
        arrival.deadline() - now - (long) (MIN_SLACK_SERVICE_TIMES * drainRate.meanServiceNanos());
    return new AdmissionPolicy.QueueState(
        queue.size(),
        queue.countAhead(arrival.caller(), arrival.key()),
        queue.expectedCountAhead(arrival.caller(), arrival.key()),
        queue.isOverFairShare(arrival.caller(), arrival.key()),
        queue.isBacklogged(arrival.caller(), arrival.key()),
        drainRate.requestsPerSecond(router.inFlight()),
        limits.targetDelayMillis() * NANOS_PER_MILLI,
        limits.maxWaiting(),
        slackNanos);
  }

  private static ErrorKind kindOf(AdmissionPolicy.Verdict verdict) {
    return verdict == AdmissionPolicy.Verdict.OVER_SHARE
        ? ErrorKind.CALLER_OVER_SHARE
        : ErrorKind.OVERLOADED;
  }

  private Decision refuse(Arrival arrival, ErrorKind kind, long now) {
    int inFlight = router.inFlight();
    double waitNanos = drainRate.waitNanos(queue.size(), inFlight);
    long retryAfterMillis =
        retryAfterEstimator.retryAfterMillis(waitNanos, drainRate.requestsPerSecond(inFlight), now);
    String detail =
        "service " + arrival.service() + ", " + queue.size() + " requests queued at this entry";
    return new Decision.Refuse(arrival.request(), new Failure(kind, detail, retryAfterMillis));
  }

  private void enqueue(ScheduledRequest request) {
    if (request.ticket() == null) {
      request.setTicket(queue.add(request, request.arrival().caller(), request.arrival().key()));
    } else {
      queue.restore(request.ticket());
    }
    deadlines.add(request.arrival().deadline(), request);
  }

  List<Decision> targetsChanged(List<TargetState> states, long now) {
    router.updateTargets(states, now);
    List<Decision> decisions = new ArrayList<>();
    if (router.isEmpty()) {
      refuseAllWaiting(decisions);
    }
    dispatch(decisions, now);
    return decisions;
  }

  private void refuseAllWaiting(List<Decision> decisions) {
    Optional<FairQueue.Ticket<ScheduledRequest>> next = queue.poll();
    while (next.isPresent()) {
      ScheduledRequest request = next.get().item();
      deadlines.remove(request.arrival().deadline(), request);
      pending.remove(request.number());
      decisions.add(refusedWithoutTarget(request.arrival(), random));
      next = queue.poll();
    }
  }

  List<Decision> loadReported(String vm, TargetLoad load, long now) {
    router.loadReported(vm, load, now);
    List<Decision> decisions = new ArrayList<>();
    dispatch(decisions, now);
    return decisions;
  }

  List<Decision> attemptEnded(long number, String vm, AttemptOutcome outcome, long now) {
    List<Decision> decisions = new ArrayList<>();
    ScheduledRequest request = pending.get(number);
    if (request == null || !request.vm().equals(vm)) {
      return decisions;
    }
    router.attemptEnded(vm, outcome, request.sentAt(), now);
    if (outcome == AttemptOutcome.ANSWERED) {
      drainRate.recordServiceTime(now - request.sentAt());
    }
    request.attemptEnded();
    completeOrRetry(request, outcome, now);
    dispatch(decisions, now);
    return decisions;
  }

  private void completeOrRetry(ScheduledRequest request, AttemptOutcome outcome, long now) {
    Arrival arrival = request.arrival();
    OptionalLong retryAt =
        retries.retryAt(
            outcome,
            arrival.idempotent(),
            request.attempts(),
            !queue.isEmpty(),
            arrival.deadline(),
            now);
    if (retryAt.isEmpty()) {
      pending.remove(request.number());
    } else if (retryAt.getAsLong() <= now) {
      enqueue(request);
    } else {
      dueRetries.add(retryAt.getAsLong(), request);
    }
  }

  void callerDisconnected(long number) {
    ScheduledRequest request = pending.remove(number);
    if (request == null) {
      return;
    }
    if (request.isSent()) {
      router.attemptAbandoned(request.vm(), request.sentAt());
      return;
    }
    queue.remove(request.ticket());
    deadlines.remove(request.arrival().deadline(), request);
  }

  List<Decision> wake(long now) {
    List<Decision> decisions = new ArrayList<>();
    ScheduledRequest due = dueRetries.pollDue(now);
    while (due != null) {
      if (pending.containsKey(due.number())) {
        enqueue(due);
      }
      due = dueRetries.pollDue(now);
    }
    ScheduledRequest expired = deadlines.pollDue(now);
    while (expired != null) {
      queue.remove(expired.ticket());
      refuseExpired(expired, decisions, now);
      expired = deadlines.pollDue(now);
    }
    dispatch(decisions, now);
    return decisions;
  }

  private void refuseExpired(ScheduledRequest request, List<Decision> decisions, long now) {
    pending.remove(request.number());
    decisions.add(refuse(request.arrival(), ErrorKind.DEADLINE_BEFORE_START, now));
  }

  long nextWake() {
    return Math.min(Math.min(deadlines.nextTime(), dueRetries.nextTime()), nextBackoffEnd);
  }

  private void dispatch(List<Decision> decisions, long now) {
    nextBackoffEnd = Long.MAX_VALUE;
    Optional<FairQueue.Ticket<ScheduledRequest>> next = queue.poll();
    while (next.isPresent()) {
      ScheduledRequest request = next.get().item();
      Optional<Route> route =
          router.choose(request.failedVm(), next.get().isBacklogged(), mayProbe(request, now), now);
      if (route.isEmpty()) {
        queue.restore(next.get());
        nextBackoffEnd = router.nextBackoffEnd(now);
        return;
      }
      deadlines.remove(request.arrival().deadline(), request);
      if (cannotMeetDeadline(request, now)) {
        refuseExpired(request, decisions, now);
      } else {
        decisions.add(send(request, route.get(), now));
      }
      next = queue.poll();
    }
  }

  /**
   * Returns whether less than the mean service time remains before the deadline. A slot spent on a
   * response that misses its deadline is lost to a request that could still meet its own.
   */
  private boolean cannotMeetDeadline(ScheduledRequest request, long now) {
    return request.arrival().deadline() - now < drainRate.meanServiceNanos();
  }

  /**
   * Returns whether the request may be used as a probe. A probe may be slow or fail, so only first
   * attempts of idempotent requests with ten mean service times left are used.
   */
  private boolean mayProbe(ScheduledRequest request, long now) {
    Arrival arrival = request.arrival();
    double slackNanos = arrival.deadline() - now;
    return arrival.idempotent()
        && request.attempts() == 0
        && slackNanos > 10 * drainRate.meanServiceNanos();
  }

  private Decision send(ScheduledRequest request, Route route, long now) {
    router.attemptSent(route.vm(), now);
    request.sent(route.vm(), now);
    if (request.attempts() == 1) {
      retries.recordRequest();
    }
    return new Decision.Send(
        request.number(), route.vm(), request.attempts(), route.reason().text());
  }
}
