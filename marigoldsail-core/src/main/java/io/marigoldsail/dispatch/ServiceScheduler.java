package io.marigoldsail.dispatch;

import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The decisions about one service. Confined to the thread of its {@link RequestScheduler}. */
final class ServiceScheduler {
  private static final long NO_TARGET_RETRY_MILLIS = 1_000;
  private static final int MAX_ATTEMPTS = 3;

  private final String zone;
  private final RandomGenerator random;
  private final Map<String, Target> targets = new HashMap<>();
  private final Deque<Held> queue = new ArrayDeque<>();
  private final Map<Long, Held> held = new HashMap<>();
  private ServiceLimits limits;

  ServiceScheduler(String zone, ServiceLimits limits, RandomGenerator random) {
    this.zone = zone;
    this.limits = limits;
    this.random = random;
  }

  private static final class Target {
    private TargetState state;
    private int inFlight;
    private int entries = 1;

    private boolean hasRoom() {
      return !state.leaving() && inFlight < Math.max(1, state.slots() / Math.max(1, entries));
    }
  }

  private static final class Held {
    private final Arrival arrival;
    private int attempts;
    private String vm = "";

    private Held(Arrival arrival) {
      this.arrival = arrival;
    }
  }

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
    return targets.isEmpty() && held.isEmpty();
  }

  boolean holds(long request) {
    return held.containsKey(request);
  }

  List<Decision> arrived(Arrival arrival, long now) {
    List<Decision> decisions = new ArrayList<>();
    if (targets.isEmpty()) {
      decisions.add(refusedWithoutTarget(arrival, random));
      return decisions;
    }
    if (queue.size() >= limits.maxWaiting()) {
      decisions.add(refuse(arrival, ErrorKind.OVERLOADED, "the queue is full"));
      return decisions;
    }
    Held entry = new Held(arrival);
    held.put(arrival.request(), entry);
    queue.add(entry);
    dispatch(decisions, now);
    return decisions;
  }

  private Decision refuse(Arrival arrival, ErrorKind kind, String why) {
    long retry = NO_TARGET_RETRY_MILLIS + random.nextLong(NO_TARGET_RETRY_MILLIS);
    return new Decision.Refuse(arrival.request(), new Failure(kind, why, retry));
  }

  List<Decision> targetsChanged(List<TargetState> states, long now) {
    Map<String, Target> before = new HashMap<>(targets);
    targets.clear();
    for (TargetState state : states) {
      Target target = before.getOrDefault(state.vm(), new Target());
      target.state = state;
      targets.put(state.vm(), target);
    }
    List<Decision> decisions = new ArrayList<>();
    if (targets.isEmpty()) {
      for (Held entry : queue) {
        held.remove(entry.arrival.request());
        decisions.add(refusedWithoutTarget(entry.arrival, random));
      }
      queue.clear();
    }
    dispatch(decisions, now);
    return decisions;
  }

  List<Decision> reported(String vm, TargetLoad load, long now) {
    List<Decision> decisions = new ArrayList<>();
    Target target = targets.get(vm);
    if (target != null) {
      target.entries = Math.max(1, load.entries());
      dispatch(decisions, now);
    }
    return decisions;
  }

  List<Decision> attemptEnded(long request, String vm, AttemptOutcome outcome, long now) {
    List<Decision> decisions = new ArrayList<>();
    Target target = targets.get(vm);
    if (target != null) {
      target.inFlight = Math.max(0, target.inFlight - 1);
    }
    Held entry = held.get(request);
    if (entry != null) {
      entry.vm = "";
      boolean again =
          outcome.mayRetry(entry.arrival.idempotent())
              && entry.attempts < MAX_ATTEMPTS
              && now < entry.arrival.deadline();
      if (again) {
        queue.addFirst(entry);
      } else {
        held.remove(request);
      }
    }
    dispatch(decisions, now);
    return decisions;
  }

  List<Decision> callerGone(long request, long now) {
    Held entry = held.get(request);
    if (entry != null && entry.vm.isEmpty()) {
      queue.remove(entry);
      held.remove(request);
    }
    return List.of();
  }

  List<Decision> wake(long now) {
    List<Decision> decisions = new ArrayList<>();
    queue.removeIf(entry -> expire(entry, decisions, now));
    dispatch(decisions, now);
    return decisions;
  }

  private boolean expire(Held entry, List<Decision> decisions, long now) {
    if (now < entry.arrival.deadline()) {
      return false;
    }
    held.remove(entry.arrival.request());
    decisions.add(refuse(entry.arrival, ErrorKind.DEADLINE_BEFORE_START, "no slot came free"));
    return true;
  }

  long nextWake() {
    long next = Long.MAX_VALUE;
    for (Held entry : queue) {
      next = Math.min(next, entry.arrival.deadline());
    }
    return next;
  }

  private void dispatch(List<Decision> decisions, long now) {
    while (!queue.isEmpty()) {
      Target target = leastLoaded();
      if (target == null) {
        return;
      }
      Held entry = queue.poll();
      if (expire(entry, decisions, now)) {
        continue;
      }
      entry.attempts++;
      entry.vm = target.state.vm();
      target.inFlight++;
      decisions.add(
          new Decision.Send(entry.arrival.request(), entry.vm, entry.attempts, "least loaded"));
    }
  }

  private Target leastLoaded() {
    Target best = null;
    for (Target target : targets.values()) {
      if (target.hasRoom() && (best == null || better(target, best))) {
        best = target;
      }
    }
    return best;
  }

  private boolean better(Target one, Target other) {
    if (one.inFlight != other.inFlight) {
      return one.inFlight < other.inFlight;
    }
    return one.state.zone().equals(zone) && !other.state.zone().equals(zone);
  }
}
