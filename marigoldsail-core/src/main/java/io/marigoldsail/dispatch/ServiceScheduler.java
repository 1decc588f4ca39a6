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
 * The decisions about one service: joins admission, routing and retry into the life of a request.
 *
 * <p>A request is at any moment in exactly one place: in the queue, sent to a VM, or waiting for
 * its next try. Confined to the thread of its {@link RequestScheduler}.
 */
final class ServiceScheduler {
  private static final long NO_TARGET_RETRY_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A request is taken only if it can wait and then still run this many mean times. */
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

  /** Returns the refusal of a request for which there is no target at all. */
  static Decision refusedWithoutTarget(Arrival arrival, RandomGenerator random) {
    long retry = NO_TARGET_RETRY_MILLIS + random.nextLong(NO_TARGET_RETRY_MILLIS);
    return new Decision.Refuse(
        arrival.request(),
        new Failure(ErrorKind.NO_TARGET, "no target serves " + arrival.service(), retry));
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
    long spare =
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
        spare);
  }

  private static ErrorKind kindOf(AdmissionPolicy.Verdict verdict) {
    return verdict == AdmissionPolicy.Verdict.OVER_SHARE
        ? ErrorKind.CALLER_OVER_SHARE
        : ErrorKind.OVERLOADED;
  }

  private Decision refuse(Arrival arrival, ErrorKind kind, long now) {
    int inFlight = router.inFlight();
    double wait = drainRate.waitNanos(queue.size(), inFlight);
    long retry =
        retryAfterEstimator.retryAfterMillis(wait, drainRate.requestsPerSecond(inFlight), now);
    String detail = "service " + arrival.service() + ", " + queue.size() + " waiting here";
    return new Decision.Refuse(arrival.request(), new Failure(kind, detail, retry));
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
   * A slot spent on an answer that comes too late is taken from one that would be in time, so what
   * has less than the mean time left is given up.
   */
  private boolean cannotMeetDeadline(ScheduledRequest request, long now) {
    return request.arrival().deadline() - now < drainRate.meanServiceNanos();
  }

  /** A probe may be slow or fail: only first tries that can be repeated and have time for it. */
  private boolean mayProbe(ScheduledRequest request, long now) {
    Arrival arrival = request.arrival();
    double spare = arrival.deadline() - now;
    return arrival.idempotent()
        && request.attempts() == 0
        && spare > 10 * drainRate.meanServiceNanos();
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
