package io.marigoldsail.testlib.measure;

import io.marigoldsail.dispatch.TargetState;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Runs a load plan under a policy on a virtual clock and records the results of callers. */
final class RequestBench implements ModelEntry.Environment {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long ANNOUNCE_NANOS = 500_000_000L;
  private static final long RETRY_DELAY_NANOS = NANOS_PER_SECOND;
  private static final int DRAIN_SECONDS = 12;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Deployment deployment;
  private final LoadPlan plan;
  private final EventQueue events = new EventQueue();
  private final List<ModelTarget> targets = new ArrayList<>();
  private final List<ModelEntry> entries = new ArrayList<>();
  private final List<Call> calls = new ArrayList<>();
  private final List<SentAttempt> sends = new ArrayList<>();

  /** One attempt that was sent to a target. */
  record SentAttempt(long time, int target) {}

  /** The record of a run: all calls in order of arrival, all attempts in sending order. */
  record Record(Deployment deployment, LoadPlan plan, List<Call> calls, List<SentAttempt> sends) {}

  private RequestBench(
      Deployment deployment, int entryCount, PolicyKind kind, LoadPlan plan, long seed) {
    this.deployment = deployment;
    this.plan = plan;
    for (int i = 0; i < deployment.targets(); i++) {
      int places = kind.queueCapacity(Deployment.SLOTS);
      targets.add(
          new ModelTarget(
              events, Deployment.SLOTS, places, entryCount, plan.reportIntervalNanos()));
    }
    for (int i = 0; i < entryCount; i++) {
      entries.add(new ModelEntry(i, events, kind.create(Deployment.zoneOf(i), seed + 1 + i), this));
    }
  }

  static Record run(
      Deployment deployment, int entryCount, PolicyKind kind, LoadPlan plan, long seed) {
    RequestBench bench = new RequestBench(deployment, entryCount, kind, plan, seed);
    bench.run(plan.draw(deployment, entryCount, seed).iterator());
    return new Record(deployment, plan, bench.calls, bench.sends);
  }

  private void run(Iterator<Call.Plan> plans) {
    entries.forEach(entry -> entry.policy().targetsChanged(targetStates(), 0));
    for (int target = 0; target < targets.size(); target++) {
      announce(target, ANNOUNCE_NANOS * target / targets.size());
    }
    for (LoadPlan.TargetChange change : plan.changes()) {
      events.schedule((long) (change.second() * NANOS_PER_SECOND), () -> apply(change));
    }
    arriveNext(plans);
    events.runUntil((plan.seconds() + DRAIN_SECONDS) * NANOS_PER_SECOND);
  }

  private List<TargetState> targetStates() {
    List<TargetState> states = new ArrayList<>();
    for (int i = 0; i < targets.size(); i++) {
      states.add(
          new TargetState(
              vmOf(i), 1, ModelEntry.SERVICE, Deployment.zoneOf(i), Deployment.SLOTS, false));
    }
    return states;
  }

  private static String vmOf(int target) {
    return "vm-" + target;
  }

  private void apply(LoadPlan.TargetChange change) {
    ModelTarget target = targets.get(change.target());
    target.setSlowdown(change.slowdown());
    target.setFailing(change.failing());
  }

  private void announce(int target, long at) {
    events.schedule(
        at,
        () -> {
          for (int entry = 0; entry < entries.size(); entry++) {
            ModelEntry receiver = entries.get(entry);
            var load = targets.get(target).load();
            events.schedule(
                at + Deployment.latencyNanos(entry, target),
                () -> receiver.reported(vmOf(target), load));
          }
          announce(target, at + ANNOUNCE_NANOS);
        });
  }

  private void arriveNext(Iterator<Call.Plan> plans) {
    if (!plans.hasNext()) {
      return;
    }
    Call.Plan next = plans.next();
    events.schedule(
        next.arrivesAt(),
        () -> {
          arrive(next, next.entry(), next.maxRetries());
          arriveNext(plans);
        });
  }

  private void arrive(Call.Plan callPlan, int entry, int returnsLeft) {
    Call call = new Call(calls.size(), callPlan, events.now(), returnsLeft);
    calls.add(call);
    entries.get(entry % entries.size()).arrived(call);
  }

  @Override
  public void send(int entry, String vm, Call call, ModelTarget.ResponseListener listener) {
    int target = Integer.parseInt(vm.substring(vm.indexOf('-') + 1));
    long latencyNanos = Deployment.latencyNanos(entry, target);
    sends.add(new SentAttempt(events.now(), target));
    events.schedule(
        events.now() + latencyNanos,
        () ->
            targets
                .get(target)
                .arrived(
                    call,
                    (outcome, load) ->
                        events.schedule(
                            events.now() + latencyNanos, () -> listener.ended(outcome, load))));
  }

  @Override
  public void completed(Call call, long retryAfterMillis) {
    boolean useful = call.completedAt + 2 * deployment.clientLatencyNanos() <= call.deadline();
    if (call.result == Call.Result.SERVED && !useful) {
      call.result = Call.Result.LATE;
    }
    if (call.result == Call.Result.SERVED || call.retriesLeft == 0) {
      return;
    }
    long delayNanos =
        call.result == Call.Result.REFUSED ? retryAfterMillis * NANOS_PER_MILLI : RETRY_DELAY_NANOS;
    long retryAt = events.now() + 2 * deployment.clientLatencyNanos() + delayNanos;
    events.schedule(retryAt, () -> arrive(call.plan, call.plan.entry() + 1, call.retriesLeft - 1));
  }
}
