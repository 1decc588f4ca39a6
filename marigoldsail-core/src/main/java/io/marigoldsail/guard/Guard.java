package io.marigoldsail.guard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides what the batch tasks of one VM give up for the service beside them.
 *
 * <p>Load pattern: a wave of noisy tasks slows the service, seen only in measurements that arrive
 * late; which task it is, nobody says. Evicting at once loses the work of the wrong tasks and moves
 * the noise to the next VM; doing nothing loses callers. So the guard throttles first, by halves,
 * those it suspects most before others (programs that slowed the service before, then the youngest
 * and largest), twice as many at each step while the service stays slow. It lets them loose one
 * after the other when the service has been quiet, and learns from what follows whom to suspect: a
 * task that slows the service again goes back and waits twice as long for its next try. It evicts
 * only when everything has been throttled for a while and the service is still slow by a margin
 * that the site's weights give, at most one task per settling time, within a budget, and the one
 * that frees most for the least lost work.
 *
 * <p>Between the two pressures nothing changes (hysteresis), because a reading lags: acting on each
 * would answer the same noise several times over. Not safe for use by several threads; a decision
 * costs a sort of the VM's tasks.
 */
public final class Guard {
  /** The service is slow from here on; a little below its goal, as readings lag. */
  static final double SLOW = 0.95;

  /** The service is quiet up to here. */
  static final double QUIET = 0.8;

  /**
   * How long an action is given to show in the readings, in nanoseconds: as long as a reading lags.
   * Twice as long won no throughput over three seeds and cost the service's tail.
   */
  static final long SETTLE_NANOS = 1_000_000_000L;

  /** How long everything must have been throttled before an eviction, in nanoseconds. */
  static final long EVICT_AFTER_NANOS = 5_000_000_000L;

  /** Readings older than this say nothing, in nanoseconds. */
  static final long STALE_NANOS = 10_000_000_000L;

  /** How much a task keeps at the least: enough to go on writing checkpoints, in percent. */
  static final int LEAST_PERCENT = 10;

  private static final int LOOSE = 100;

  /** Expected noise that weighs as much as one confirmed suspicion here. */
  private static final double NOISE_OF_A_SUSPECT = 0.2;

  /** A suspect that was throttled to the least for so long goes, if it is not the only one. */
  private static final long STUCK_NANOS = 20_000_000_000L;

  /** A program confirmed again and again is tried about once a minute. */
  private static final double MOST_DOUBLINGS = 5;

  /** More tasks than a VM runs; keeps a service that is slow for a minute from overflowing. */
  private static final int MAX_STEP = 1_024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Work lost weighs double where the task is due within this time, in milliseconds. */
  private static final long DUE_SOON_MILLIS = 600_000;

  private final Suspicion suspicion = new Suspicion();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final EvictionBudget budget;
  private List<Hold> probing = List.of();
  private long nextStep;
  private long quietSince;
  private long allThrottledSince;
  private long stuckSince;
  private boolean slowBefore;
  private boolean allThrottled;
  private int stepSize = 1;
  private int probeSize = 1;

  /**
   * A task that is throttled.
   *
   * @param percent how much it may use
   * @param probeAt from when on it may be tried with more
   */
  private record Hold(GuardedTask task, int percent, long probeAt) {
    int tighter() {
      return Math.max(LEAST_PERCENT, percent / 2);
    }

    int looser() {
      return Math.min(LOOSE, percent * 2);
    }
  }

  /** Creates a guard that throttles nothing. */
  public Guard(GuardTerms terms, long nowNanos) {
    this.budget = new EvictionBudget(terms, nowNanos);
    this.nextStep = nowNanos;
    this.quietSince = nowNanos;
    this.stuckSince = nowNanos;
  }

  /**
   * Returns what to do now.
   *
   * @param terms what the configuration in force says
   * @param reading how the service does, or empty if it serves nothing
   * @param tasks the batch tasks that run
   * @param nowNanos this process's clock
   * @param nowMillis this VM's clock, for the tasks' deadlines only
   */
  public List<GuardAction> decide(
      GuardTerms terms,
      Optional<ServiceReading> reading,
      List<GuardedTask> tasks,
      long nowNanos,
      long nowMillis) {
    forgetEnded(tasks);
    double pressure = pressure(reading, nowNanos);
    if (pressure > QUIET) {
      quietSince = nowNanos;
    }
    if (nowNanos - nextStep < 0) {
      return List.of();
    }
    List<GuardAction> stuck = evictStuck(terms, tasks, nowNanos, nowMillis);
    if (!stuck.isEmpty()) {
      nextStep = nowNanos + SETTLE_NANOS;
      return stuck;
    }
    if (pressure > SLOW) {
      return onSlow(terms, pressure, tasks, nowNanos, nowMillis);
    }
    slowBefore = false;
    stepSize = 1;
    return letLoose(terms, nowNanos);
  }

  /** Counts an eviction for urgent work, which an entry decided, against this VM's budget. */
  public void evictedForUrgent(GuardTerms terms, long nowNanos) {
    budget.spend(terms, nowNanos);
  }

  private static double pressure(Optional<ServiceReading> reading, long nowNanos) {
    boolean fresh = reading.isPresent() && nowNanos - reading.get().measuredNanos() < STALE_NANOS;
    return fresh ? reading.get().pressure() : 0;
  }

  private List<GuardAction> onSlow(
      GuardTerms terms, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    nextStep = nowNanos + SETTLE_NANOS;
    List<GuardAction> takenBack = takeBackProbe(terms, pressure, nowNanos);
    if (!takenBack.isEmpty()) {
      return takenBack;
    }
    List<GuardAction> actions = throttleMore(terms, pressure, tasks, nowNanos);
    if (!actions.isEmpty()) {
      allThrottled = false;
      return actions;
    }
    if (!allThrottled) {
      allThrottled = true;
      allThrottledSince = nowNanos;
    }
    boolean longEnough = nowNanos - allThrottledSince >= EVICT_AFTER_NANOS;
    if (!longEnough || pressure <= terms.evictionPressure()) {
      return List.of();
    }
    return evictOne(terms, pressure, tasks, nowNanos, nowMillis);
  }

  /** The service slowed after tasks were let loose: those go back, and wait longer. */
  private List<GuardAction> takeBackProbe(GuardTerms terms, double pressure, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (Hold hold : probing) {
      GuardedTask task = hold.task();
      suspicion.confirmed(task.program(), 1.0 / probing.size());
      Hold before = new Hold(task, hold.percent(), probeAt(terms, task, nowNanos));
      holds.put(task.token(), before);
      actions.add(new GuardAction.Throttle(task.token(), before.percent(), slowness(pressure)));
    }
    probing = List.of();
    probeSize = 1;
    return actions;
  }

  private List<GuardAction> throttleMore(
      GuardTerms terms, double pressure, List<GuardedTask> tasks, long nowNanos) {
    List<GuardedTask> candidates = new ArrayList<>(tasks);
    candidates.removeIf(task -> percent(task) <= LEAST_PERCENT);
    candidates.sort(
        Comparator.comparingDouble((GuardedTask task) -> -suspected(task))
            .thenComparingLong(task -> -task.startedNanos())
            .thenComparingLong(task -> -task.used().milliProcessors()));
    stepSize = slowBefore ? Math.min(stepSize * 2, MAX_STEP) : 1;
    slowBefore = true;
    List<GuardAction> actions = new ArrayList<>();
    for (GuardedTask task : candidates.subList(0, Math.min(stepSize, candidates.size()))) {
      Hold hold = new Hold(task, percent(task), probeAt(terms, task, nowNanos));
      Hold tighter = new Hold(task, hold.tighter(), hold.probeAt());
      holds.put(task.token(), tighter);
      actions.add(new GuardAction.Throttle(task.token(), tighter.percent(), slowness(pressure)));
    }
    return actions;
  }

  /** Returns how much the task is suspected, here and by what entries learned elsewhere. */
  private double suspected(GuardedTask task) {
    return suspicion.of(task.program()) + task.noise() / NOISE_OF_A_SUSPECT;
  }

  private int percent(GuardedTask task) {
    Hold hold = holds.get(task.token());
    return hold == null ? LOOSE : hold.percent();
  }

  /** Returns when a task may be tried with more: later, the more its program is suspected. */
  private long probeAt(GuardTerms terms, GuardedTask task, long nowNanos) {
    double doublings = Math.min(MOST_DOUBLINGS, suspected(task));
    return nowNanos + (long) (terms.recoveryMillis() * NANOS_PER_MILLI * Math.pow(2, doublings));
  }

  private List<GuardAction> evictOne(
      GuardTerms terms, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    Optional<GuardedTask> victim =
        tasks.stream()
            .filter(GuardedTask::evictable)
            .max(Comparator.comparingDouble(task -> worth(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.take(terms, nowNanos)) {
      return List.of();
    }
    // The next one only after this one's leaving has had the time to show.
    allThrottledSince = nowNanos;
    holds.remove(victim.get().token());
    return List.of(
        new GuardAction.Evict(
            victim.get().token(), slowness(pressure) + " with all batch tasks throttled"));
  }

  /** Returns how much evicting the task helps for what it loses. */
  private double worth(GuardedTask task, long nowNanos, long nowMillis) {
    double frees = (1 + suspected(task)) * (1 + task.used().milliProcessors());
    double lostSeconds = (nowNanos - task.checkpointedNanos()) / 1e9;
    boolean dueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return frees / (1 + lostSeconds) / (dueSoon ? 2 : 1);
  }

  private List<GuardAction> letLoose(GuardTerms terms, long nowNanos) {
    allThrottled = false;
    long recoveryNanos = terms.recoveryMillis() * NANOS_PER_MILLI;
    if (nowNanos - quietSince < recoveryNanos) {
      return List.of();
    }
    probing.forEach(hold -> suspicion.cleared(hold.task().program()));
    probeSize = probing.isEmpty() ? probeSize : Math.min(MAX_STEP, probeSize * 2);
    probing = List.of();
    List<Hold> next =
        holds.values().stream()
            .filter(hold -> nowNanos - hold.probeAt() >= 0)
            .sorted(
                Comparator.comparingDouble((Hold hold) -> suspected(hold.task()))
                    .thenComparingLong(hold -> hold.task().startedNanos()))
            .toList();
    if (next.isEmpty()) {
      probeSize = 1;
      return List.of();
    }
    return probe(terms, next.subList(0, Math.min(probeSize, next.size())), nowNanos);
  }

  /**
   * Lets tasks have twice as much: one at first, so that a service that slows again tells which it
   * was, then more at a time as long as it stays quiet.
   */
  private List<GuardAction> probe(GuardTerms terms, List<Hold> chosen, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (Hold hold : chosen) {
      GuardedTask task = hold.task();
      if (hold.looser() == LOOSE) {
        holds.remove(task.token());
      } else {
        holds.put(task.token(), new Hold(task, hold.looser(), probeAt(terms, task, nowNanos)));
      }
      actions.add(new GuardAction.Throttle(task.token(), hold.looser(), "the service is quiet"));
    }
    probing = List.copyOf(chosen);
    quietSince = nowNanos;
    nextStep = nowNanos + SETTLE_NANOS;
    return actions;
  }

  /**
   * Evicts one of several suspects that have been throttled to the least for long. Each of them
   * holds its room for ten times as long as its work takes, and together they can never be let
   * loose here; on another VM, or later, one alone can.
   */
  private List<GuardAction> evictStuck(
      GuardTerms terms, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    List<GuardedTask> stuck =
        tasks.stream()
            .filter(task -> percent(task) <= LEAST_PERCENT && suspected(task) >= 1)
            .toList();
    if (stuck.size() < 2) {
      stuckSince = nowNanos;
      return List.of();
    }
    if (nowNanos - stuckSince < STUCK_NANOS) {
      return List.of();
    }
    Optional<GuardedTask> victim =
        stuck.stream()
            .filter(GuardedTask::evictable)
            .max(Comparator.comparingDouble(task -> worth(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.take(terms, nowNanos)) {
      return List.of();
    }
    holds.remove(victim.get().token());
    String why = "one of %d noisy tasks here that cannot be let loose together";
    return List.of(new GuardAction.Evict(victim.get().token(), why.formatted(stuck.size())));
  }

  private void forgetEnded(List<GuardedTask> tasks) {
    Set<Long> running = new HashSet<>();
    tasks.forEach(task -> running.add(task.token()));
    holds.keySet().retainAll(running);
    probing = probing.stream().filter(h -> running.contains(h.task().token())).toList();
  }

  private static String slowness(double pressure) {
    return String.format(
        Locale.ROOT, "the service's tail latency is %.2f times its goal", pressure);
  }
}
