package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.Arrival;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.Decision;
import io.marigoldsail.dispatch.RequestPolicy;
import io.marigoldsail.dispatch.TargetLoad;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A modelled entry: applies the decisions of its policy and passes responses to callers. */
final class ModelEntry {
  static final String SERVICE = "service";

  /** Delivers messages and records results; implemented by the benchmark. */
  interface Environment {
    void send(int entry, String vm, Call call, ModelTarget.ResponseListener listener);

    void completed(Call call, long retryAfterMillis);
  }

  private final int number;
  private final EventQueue events;
  private final RequestPolicy policy;
  private final Environment environment;
  private final Map<Long, Call> open = new HashMap<>();
  private final Map<Long, String> sentTo = new HashMap<>();
  private long wakeAt = Long.MAX_VALUE;

  ModelEntry(int number, EventQueue events, RequestPolicy policy, Environment surroundings) {
    this.number = number;
    this.events = events;
    this.policy = policy;
    this.environment = surroundings;
  }

  RequestPolicy policy() {
    return policy;
  }

  void arrived(Call call) {
    open.put(call.number, call);
    Call.Plan plan = call.plan;
    apply(
        policy.requestArrived(
            new Arrival(
                call.number,
                SERVICE,
                plan.caller(),
                plan.key(),
                plan.idempotent(),
                events.now(),
                call.deadline()),
            events.now()));
  }

  void reported(String vm, TargetLoad load) {
    apply(policy.loadReported(vm, load, events.now()));
  }

  private void apply(List<Decision> decisions) {
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Send send) {
        send(send);
      } else if (decision instanceof Decision.Refuse refuse) {
        complete(
            open.get(refuse.request()), Call.Result.REFUSED, refuse.failure().retryAfterMillis());
      }
    }
    scheduleWake();
  }

  private void send(Decision.Send send) {
    Call call = open.get(send.request());
    call.attempts++;
    int attempt = call.attempts;
    if (attempt == 1) {
      events.schedule(Math.max(events.now(), call.deadline()), () -> deadlinePassed(call));
    }
    String vm = send.vm();
    environment.send(number, vm, call, (outcome, load) -> ended(call, attempt, vm, outcome, load));
    sentTo.put(call.number, vm);
  }

  private void deadlinePassed(Call call) {
    String vm = sentTo.remove(call.number);
    if (!call.isOpen() || vm == null) {
      return;
    }
    List<Decision> decisions =
        policy.attemptEnded(call.number, vm, AttemptOutcome.TIMED_OUT, events.now());
    complete(call, Call.Result.TIMED_OUT, 0);
    apply(decisions);
  }

  private void ended(Call call, int attempt, String vm, AttemptOutcome outcome, TargetLoad load) {
    reported(vm, load);
    if (call.isOpen() && call.attempts == attempt) {
      sentTo.remove(call.number);
      List<Decision> decisions = policy.attemptEnded(call.number, vm, outcome, events.now());
      apply(decisions);
      if (call.isOpen() && !policy.isPending(call.number)) {
        complete(call, resultOf(outcome), 0);
      }
    }
  }

  private static Call.Result resultOf(AttemptOutcome outcome) {
    return switch (outcome) {
      case ANSWERED -> Call.Result.SERVED;
      case NOT_RUN -> Call.Result.REFUSED;
      case TARGET_ERROR, LOST -> Call.Result.FAILED;
      case TIMED_OUT -> Call.Result.TIMED_OUT;
    };
  }

  private void complete(Call call, Call.Result result, long retryAfterMillis) {
    open.remove(call.number);
    call.result = result;
    call.completedAt = events.now();
    environment.completed(call, retryAfterMillis);
  }

  private void scheduleWake() {
    long next = policy.nextWake();
    if (next >= wakeAt) {
      return;
    }
    wakeAt = Math.max(next, events.now());
    long dueNanos = wakeAt;
    events.schedule(dueNanos, () -> wake(dueNanos));
  }

  private void wake(long dueNanos) {
    if (wakeAt != dueNanos) {
      return;
    }
    wakeAt = Long.MAX_VALUE;
    apply(policy.wake(events.now()));
  }
}
