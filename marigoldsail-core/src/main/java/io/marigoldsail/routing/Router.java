package io.marigoldsail.routing;

import static java.util.Objects.requireNonNull;

import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.dispatch.TargetState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses the target of each request of one service.
 *
 * <p>Load pattern: many targets whose load is known late, from several entries. The least loaded of
 * all would draw every entry to the same target until the next report; a random one leaves some
 * full while others idle. The better of {@link #SAMPLED_TARGETS} random ones with a free slot does
 * neither. The own zone's targets come first while one of them is below {@link #OWN_ZONE_MAX_LOAD}:
 * a hop between zones costs a millisecond each way, a busy target ten times that. Where no slot is
 * free, a place to wait beside a target is taken, so that a freed slot does not stay empty for a
 * round trip.
 *
 * <p>Load pattern: a hot caller keeps every entry full. Then each entry's other callers wait for
 * that entry's own slots, a ninth of all, and the chance bunches of nine entries no longer even out
 * over all slots. So a request beyond its caller's turn takes a place to wait only while this entry
 * has less than its even part in flight; the rest is left to the others of all entries.
 *
 * <p>Slow and failing targets get only probes: one request at a time, not more often than every
 * {@link #MIN_PROBE_INTERVAL_NANOS} and than one in {@link #REQUESTS_PER_PROBE} of this entry's
 * requests, so that all entries together send well under 2% there. No more than one target in
 * {@link #TARGETS_PER_EJECTED} is eased off: where most are bad, there is nowhere better to go.
 *
 * <p>Not safe for use by several threads. A choice costs O(targets).
 */
public final class Router {
  static final int SAMPLED_TARGETS = 2;
  static final double OWN_ZONE_MAX_LOAD = 0.75;
  static final long MIN_PROBE_INTERVAL_NANOS = 250_000_000L;
  static final int REQUESTS_PER_PROBE = 200;
  static final int TARGETS_PER_EJECTED = 3;
  private static final long STREAK_PROBE_INTERVAL_NANOS = 20_000_000L;
  private static final long FLEET_REFRESH_NANOS = 50_000_000L;
  private static final int SEND_INTERVAL_SAMPLES = 100;
  private static final long ENTRY_STARTUP_NANOS = 2_000_000_000L;

  private final String zone;
  private final RandomGenerator random;
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private TargetHealth.FleetMedians fleet = TargetHealth.FleetMedians.UNKNOWN;
  private long fleetUpdatedAt = Long.MIN_VALUE;
  private long firstTargetAt = Long.MAX_VALUE;
  private double meanSendIntervalNanos;
  private long lastSend = Long.MIN_VALUE;

  /** Creates a router that knows no targets, for an entry in the given zone. */
  public Router(String zone, RandomGenerator random) {
    this.zone = requireNonNull(zone, "zone");
    this.random = requireNonNull(random, "random");
  }

  /** Replaces the targets; one with a new incarnation counts as new and is started slowly. */
  public void updateTargets(List<TargetState> states, long now) {
    Map<String, Target> before = new LinkedHashMap<>(targets);
    targets.clear();
    if (!states.isEmpty()) {
      firstTargetAt = Math.min(firstTargetAt, now);
    }
    for (TargetState state : states) {
      Target target = before.get(state.vm());
      if (target == null || target.state().incarnation() != state.incarnation()) {
        target = new Target(state, slowStartForNewTarget(now), now);
      } else {
        target.update(state);
      }
      targets.put(state.vm(), target);
    }
    fleetUpdatedAt = Long.MIN_VALUE;
  }

  /** Targets heard of while this entry itself starts were there before it and are warm. */
  private SlowStart slowStartForNewTarget(long now) {
    return now - firstTargetAt < ENTRY_STARTUP_NANOS
        ? SlowStart.completed(now)
        : SlowStart.startingAt(now);
  }

  /** Takes in what a side process reported; unknown VMs are ignored. */
  public void loadReported(String vm, TargetLoad load, long now) {
    Target target = targets.get(vm);
    if (target == null) {
      return;
    }
    target.slotShare().loadReported(load, now);
    if (load.draining()) {
      target.markDraining();
    }
  }

  /**
   * Returns where a request goes now, or empty if no target has a place for it.
   *
   * @param avoided a VM that failed it before, passed over while there are others; may be empty
   * @param excess whether its caller or key had its turn already and others go first
   * @param mayProbe whether the request may be used to try a slow or failing target
   */
  public Optional<Route> choose(String avoided, boolean excess, boolean mayProbe, long now) {
    if (mayProbe) {
      Optional<Route> probe = probe(now);
      if (probe.isPresent()) {
        return probe;
      }
    }
    boolean yields = excess && inFlight() >= evenShare();
    Optional<Route> route = chooseAvailable(avoided, yields, now);
    if (route.isEmpty() && !avoided.isEmpty()) {
      return chooseAvailable("", yields, now);
    }
    return route;
  }

  private Optional<Route> probe(long now) {
    for (Target target : targets.values()) {
      if (target.isDueForProbe(now)) {
        target.setNextProbe(now + nextProbeInterval());
        return Optional.of(new Route(target.state().vm(), Route.Reason.PROBE));
      }
    }
    return Optional.empty();
  }

  private long nextProbeInterval() {
    long byRequests = (long) (REQUESTS_PER_PROBE * meanSendIntervalNanos);
    long spacing = Math.max(MIN_PROBE_INTERVAL_NANOS, byRequests);
    return spacing + random.nextLong(spacing / 4);
  }

  private Optional<Route> chooseAvailable(String avoided, boolean yields, long now) {
    List<Target> own = new ArrayList<>();
    List<Target> free = new ArrayList<>();
    List<Target> waiting = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.state().vm().equals(avoided) || !target.isAvailable(now)) {
        continue;
      }
      if (target.slotShare().hasFreeSlot(now)) {
        free.add(target);
        if (isPreferredOwnZone(target)) {
          own.add(target);
        }
      } else if (!yields && target.slotShare().hasQueueCapacity(now)) {
        waiting.add(target);
      }
    }
    if (!own.isEmpty()) {
      return best(own, Route.Reason.OWN_ZONE, now);
    }
    if (!free.isEmpty()) {
      return best(free, Route.Reason.ANY_ZONE, now);
    }
    return best(waiting, Route.Reason.TARGET_QUEUE, now);
  }

  private boolean isPreferredOwnZone(Target target) {
    return target.state().zone().equals(zone) && target.slotShare().loadRatio() < OWN_ZONE_MAX_LOAD;
  }

  private Optional<Route> best(List<Target> candidates, Route.Reason reason, long now) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    refreshFleet(now);
    Target best = null;
    double bestScore = Double.POSITIVE_INFINITY;
    int choices = Math.min(SAMPLED_TARGETS, candidates.size());
    for (int i = 0; i < choices; i++) {
      int picked = i + random.nextInt(candidates.size() - i);
      Target target = candidates.get(picked);
      candidates.set(picked, candidates.get(i));
      double score = score(target);
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return Optional.of(new Route(best.state().vm(), reason));
  }

  private double score(Target target) {
    double load = (target.slotShare().estimatedInFlight() + 1.0) / target.slotShare().slots();
    return load * Math.max(1, target.health().relativeLatency(fleet));
  }

  private void refreshFleet(long now) {
    if (fleetUpdatedAt != Long.MIN_VALUE && now - fleetUpdatedAt < FLEET_REFRESH_NANOS) {
      return;
    }
    fleetUpdatedAt = now;
    double[] logs = measuredTargets().mapToDouble(TargetHealth::logLatency).sorted().toArray();
    double[] failures =
        measuredTargets().mapToDouble(TargetHealth::failureRatio).sorted().toArray();
    if (logs.length > 0) {
      int middle = (logs.length - 1) / 2;
      fleet = new TargetHealth.FleetMedians(logs[middle], failures[middle], logs.length);
    }
  }

  private Stream<TargetHealth> measuredTargets() {
    return targets.values().stream().map(Target::health).filter(TargetHealth::isMeasured);
  }

  /** Takes note that a request was sent. */
  public void attemptSent(String vm, long now) {
    targets.get(vm).slotShare().attemptSent(now);
    if (lastSend != Long.MIN_VALUE) {
      meanSendIntervalNanos += (now - lastSend - meanSendIntervalNanos) / SEND_INTERVAL_SAMPLES;
    }
    lastSend = now;
  }

  /** Takes in how an attempt ended that was sent at the given time. */
  public void attemptEnded(String vm, AttemptOutcome outcome, long sentAt, long now) {
    Target target = targetOfAttempt(vm, sentAt);
    if (target == null) {
      return;
    }
    if (outcome.rejectedBySideProcess()) {
      target.slotShare().attemptRejected(now);
      return;
    }
    target.slotShare().attemptAccepted();
    if (outcome == AttemptOutcome.ANSWERED) {
      target.slotShare().recordRoundTrip(now - sentAt);
    }
    refreshFleet(now);
    boolean wasEased = target.health().isEjected();
    boolean mayEase = ejectedTargets().count() < Math.max(1, targets.size() / TARGETS_PER_EJECTED);
    boolean changed = target.health().attemptEnded(outcome, now - sentAt, fleet, mayEase);
    if (wasEased && changed) {
      target.restartSlowStart(now);
    } else if (target.health().isEjected() && target.health().hasGoodProbeStreak()) {
      target.setNextProbe(now + STREAK_PROBE_INTERVAL_NANOS);
    } else if (changed) {
      target.setNextProbe(now + nextProbeInterval());
    }
  }

  /** Takes note that an attempt was given up without knowing how it ended. */
  public void attemptAbandoned(String vm, long sentAt) {
    Target target = targetOfAttempt(vm, sentAt);
    if (target != null) {
      target.slotShare().attemptEnded();
    }
  }

  /** An attempt sent before a VM's target was replaced must not count against the new one. */
  private Target targetOfAttempt(String vm, long sentAt) {
    Target target = targets.get(vm);
    return target == null || sentAt < target.createdAt() ? null : target;
  }

  /** Returns how many requests of this entry are at targets. */
  public int inFlight() {
    return targets.values().stream().mapToInt(target -> target.slotShare().ownInFlight()).sum();
  }

  private double evenShare() {
    return targets.values().stream().mapToDouble(target -> target.slotShare().evenShare()).sum();
  }

  /** Returns whether no target is known. */
  public boolean isEmpty() {
    return targets.isEmpty();
  }

  /** Returns the VMs that are eased off now, for operators. */
  public List<String> ejectedVms() {
    return ejectedTargets().map(target -> target.state().vm()).toList();
  }

  private Stream<Target> ejectedTargets() {
    return targets.values().stream().filter(target -> target.health().isEjected());
  }

  /** Returns when a target that turned a request away may be tried again, after the given time. */
  public long nextBackoffEnd(long now) {
    long next = Long.MAX_VALUE;
    for (Target target : targets.values()) {
      long held = target.slotShare().backoffUntil();
      if (held > now) {
        next = Math.min(next, held);
      }
    }
    return next;
  }
}
