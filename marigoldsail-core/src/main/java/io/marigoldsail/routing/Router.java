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
 * <p>Load pattern: many targets with delayed load reports, shared by several entries. Choosing the
 * least loaded target would send the requests of all entries to the same target until the next
 * report; a random choice leaves some targets full while others are idle. The better of {@link
 * #SAMPLED_TARGETS} random targets with a free slot avoids both. Targets of the entry's own zone
 * are preferred while one of them is below a load of {@link #OWN_ZONE_MAX_LOAD}: a hop between
 * zones costs one millisecond each way; a busy target adds ten times that. If no slot is free, the
 * request goes to a target queue, so that a freed slot does not stay idle for a round trip.
 *
 * <p>Load pattern: a hot caller keeps every entry busy. The other callers of an entry then wait
 * only for the slots that this entry uses, a ninth of all, and random bursts at nine entries no
 * longer average out over all slots. So a backlogged request is put in a target queue only while
 * this entry has less than its even share of requests in flight; the remaining capacity is left to
 * other callers of all entries.
 *
 * <p>Ejected targets, which are slow or failing, receive only probes: single requests, at intervals
 * of at least {@link #MIN_PROBE_INTERVAL_NANOS} and at most one in {@link #REQUESTS_PER_PROBE} of
 * this entry's requests, so that all entries together send well under 2% of their requests there.
 * At most one in {@link #TARGETS_PER_EJECTED} targets is ejected: if most targets are bad, there
 * are no better ones to send the requests to.
 *
 * <p>Not thread-safe. A choice costs O(targets).
 */
public final class Router {
  /** Number of random candidates of which the less loaded one is chosen. */
  static final int SAMPLED_TARGETS = 2;

  /** Load per slot up to which targets of the own zone are preferred. */
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

  /** Creates a router without targets, for an entry in the given zone. */
  public Router(String zone, RandomGenerator random) {
    this.zone = requireNonNull(zone, "zone");
    this.random = requireNonNull(random, "random");
  }

  /** Replaces the set of targets; a target with a new incarnation is new and is started slowly. */
  public void updateTargets(List<TargetState> states, long now) {
    Map<String, Target> previousTargets = new LinkedHashMap<>(targets);
    targets.clear();
    if (!states.isEmpty()) {
      firstTargetAt = Math.min(firstTargetAt, now);
    }
    for (TargetState state : states) {
      Target target = previousTargets.get(state.vm());
      if (target == null || target.state().incarnation() != state.incarnation()) {
        target = new Target(state, slowStartForNewTarget(now), now);
      } else {
        target.update(state);
      }
      targets.put(state.vm(), target);
    }
    fleetUpdatedAt = Long.MIN_VALUE;
  }

  /**
   * Returns the slow start of a target. Targets announced while this entry starts were running
   * before it and are warm.
   */
  private SlowStart slowStartForNewTarget(long now) {
    return now - firstTargetAt < ENTRY_STARTUP_NANOS
        ? SlowStart.completed(now)
        : SlowStart.startingAt(now);
  }

  /** Records a side process's load report; a report of an unknown VM is ignored. */
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
   * Returns the route of a request, or empty if no target has capacity for it.
   *
   * @param avoided a VM on which the request failed before, used only if no other has capacity; may
   *     be empty
   * @param backlogged whether its caller or key is backlogged, so that requests of others go first
   * @param mayProbe whether the request may be used to probe an ejected target
   * @param now current monotonic time, in nanoseconds
   */
  public Optional<Route> choose(String avoided, boolean backlogged, boolean mayProbe, long now) {
    if (mayProbe) {
      Optional<Route> probe = probe(now);
      if (probe.isPresent()) {
        return probe;
      }
    }
    boolean skipTargetQueues = backlogged && inFlight() >= evenShare();
    Optional<Route> route = chooseAvailable(avoided, skipTargetQueues, now);
    if (route.isEmpty() && !avoided.isEmpty()) {
      return chooseAvailable("", skipTargetQueues, now);
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
    long requestInterval = (long) (REQUESTS_PER_PROBE * meanSendIntervalNanos);
    long interval = Math.max(MIN_PROBE_INTERVAL_NANOS, requestInterval);
    return interval + random.nextLong(interval / 4);
  }

  private Optional<Route> chooseAvailable(String avoided, boolean skipTargetQueues, long now) {
    List<Target> inOwnZone = new ArrayList<>();
    List<Target> withFreeSlot = new ArrayList<>();
    List<Target> withQueueCapacity = new ArrayList<>();
    for (Target target : targets.values()) {
      if (target.state().vm().equals(avoided) || !target.isAvailable(now)) {
        continue;
      }
      if (target.slotShare().hasFreeSlot(now)) {
        withFreeSlot.add(target);
        if (isPreferredOwnZone(target)) {
          inOwnZone.add(target);
        }
      } else if (!skipTargetQueues && target.slotShare().hasQueueCapacity(now)) {
        withQueueCapacity.add(target);
      }
    }
    if (!inOwnZone.isEmpty()) {
      return best(inOwnZone, Route.Reason.OWN_ZONE, now);
    }
    if (!withFreeSlot.isEmpty()) {
      return best(withFreeSlot, Route.Reason.ANY_ZONE, now);
    }
    return best(withQueueCapacity, Route.Reason.TARGET_QUEUE, now);
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
    int sampleSize = Math.min(SAMPLED_TARGETS, candidates.size());
    for (int i = 0; i < sampleSize; i++) {
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
    double[] logLatencies =
        measuredTargets().mapToDouble(TargetHealth::logLatency).sorted().toArray();
    double[] failureRatios =
        measuredTargets().mapToDouble(TargetHealth::failureRatio).sorted().toArray();
    if (logLatencies.length > 0) {
      int middle = (logLatencies.length - 1) / 2;
      fleet =
          new TargetHealth.FleetMedians(
              logLatencies[middle], failureRatios[middle], logLatencies.length);
    }
  }

  private Stream<TargetHealth> measuredTargets() {
    return targets.values().stream().map(Target::health).filter(TargetHealth::isMeasured);
  }

  /** Records that a request was sent. */
  public void attemptSent(String vm, long now) {
    targets.get(vm).slotShare().attemptSent(now);
    if (lastSend != Long.MIN_VALUE) {
      meanSendIntervalNanos += (now - lastSend - meanSendIntervalNanos) / SEND_INTERVAL_SAMPLES;
    }
    lastSend = now;
  }

  /** Records the outcome of an attempt that was sent at the given time. */
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
    boolean wasEjected = target.health().isEjected();
    boolean mayEject = ejectedTargets().count() < Math.max(1, targets.size() / TARGETS_PER_EJECTED);
    boolean changed = target.health().attemptEnded(outcome, now - sentAt, fleet, mayEject);
    if (wasEjected && changed) {
      target.restartSlowStart(now);
    } else if (target.health().isEjected() && target.health().hasGoodProbeStreak()) {
      target.setNextProbe(now + STREAK_PROBE_INTERVAL_NANOS);
    } else if (changed) {
      target.setNextProbe(now + nextProbeInterval());
    }
  }

  /** Records that an attempt was abandoned with an unknown outcome. */
  public void attemptAbandoned(String vm, long sentAt) {
    Target target = targetOfAttempt(vm, sentAt);
    if (target != null) {
      target.slotShare().attemptEnded();
    }
  }

  /**
   * Returns the target of an attempt, or null. An attempt sent before the VM's target was replaced
   * must not be counted against the new target.
   */
  private Target targetOfAttempt(String vm, long sentAt) {
    Target target = targets.get(vm);
    return target == null || sentAt < target.createdAt() ? null : target;
  }

  /** Returns the number of this entry's requests in flight to targets. */
  public int inFlight() {
    return targets.values().stream().mapToInt(target -> target.slotShare().ownInFlight()).sum();
  }

  private double evenShare() {
    return targets.values().stream().mapToDouble(target -> target.slotShare().evenShare()).sum();
  }

  /** Returns whether there are no targets. */
  public boolean isEmpty() {
    return targets.isEmpty();
  }

  /** Returns the VMs whose targets are ejected, for operators. */
  public List<String> ejectedVms() {
    return ejectedTargets().map(target -> target.state().vm()).toList();
  }

  private Stream<Target> ejectedTargets() {
    return targets.values().stream().filter(target -> target.health().isEjected());
  }

  /**
   * Returns the earliest end of a rejection backoff after the given time, or {@link
   * Long#MAX_VALUE}.
   */
  public long nextBackoffEnd(long now) {
    long next = Long.MAX_VALUE;
    for (Target target : targets.values()) {
      long backoffEnd = target.slotShare().backoffUntil();
      if (backoffEnd > now) {
        next = Math.min(next, backoffEnd);
      }
    }
    return next;
  }
}
