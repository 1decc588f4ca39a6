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

  /** How long an action is given to show in the readings, in nanoseconds. */
  static final long SETTLE_NANOS = 1_000_000_000L;

  /** How long everything must have been throttled before an eviction, in nanoseconds. */
  static final long EVICT_AFTER_NANOS = 5_000_000_000L;

  /** Readings older than this say nothing, in nanoseconds. */
  static final long STALE_NANOS = 10_000_000_000L;

  /** How much a task keeps at the least: enough to go on writing checkpoints, in percent. */
  static final int LEAST_PERCENT = 10;

  private static final int LOOSE = 100;

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
  private Hold probing;
  private long nextStep;
  private long quietSince;
  private long allThrottledSince;
  private boolean slowBefore;
  private boolean allThrottled;
  private int stepSize = 1;

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
    if (pressure > SLOW) {
      return onSlow(terms, pressure, tasks, nowNanos, nowMillis);
    }
    slowBefore = false;
    stepSize = 1;
    if (pressure <= QUIET) {
      return onQuiet(terms, nowNanos);
    }
    return List.of();
  }

  private static double pressure(Optional<ServiceReading> reading, long nowNanos) {
    boolean fresh = reading.isPresent() && nowNanos - reading.get().measuredNanos() < STALE_NANOS;
    return fresh ? reading.get().pressure() : 0;
  }

  private List<GuardAction> onSlow(
      GuardTerms terms, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    nextStep = nowNanos + SETTLE_NANOS;
    Optional<GuardAction> takenBack = takeBackProbe(terms, pressure, nowNanos);
    if (takenBack.isPresent()) {
      return List.of(takenBack.get());
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

  /** The service slowed after one task was let loose: that one goes back, and waits longer. */
  private Optional<GuardAction> takeBackProbe(GuardTerms terms, double pressure, long nowNanos) {
    if (probing == null) {
      return Optional.empty();
    }
    GuardedTask task = probing.task();
    suspicion.confirmed(task.program());
    Hold before = new Hold(task, probing.percent(), probeAt(terms, task, nowNanos));
    probing = null;
    holds.put(task.token(), before);
    return Optional.of(
        new GuardAction.Throttle(task.token(), before.percent(), slowness(pressure)));
  }

  private List<GuardAction> throttleMore(
      GuardTerms terms, double pressure, List<GuardedTask> tasks, long nowNanos) {
    List<GuardedTask> candidates = new ArrayList<>(tasks);
    candidates.removeIf(task -> percent(task) <= LEAST_PERCENT);
    candidates.sort(
        Comparator.comparingDouble((GuardedTask task) -> -suspicion.of(task.program()))
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

  private int percent(GuardedTask task) {
    Hold hold = holds.get(task.token());
    return hold == null ? LOOSE : hold.percent();
  }

  /** Returns when a task may be tried with more: later, the more its program is suspected. */
  private long probeAt(GuardTerms terms, GuardedTask task, long nowNanos) {
    double doublings = Math.min(MOST_DOUBLINGS, suspicion.of(task.program()));
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
    double frees = (1 + suspicion.of(task.program())) * (1 + task.used().milliProcessors());
    double lostSeconds = (nowNanos - task.checkpointedNanos()) / 1e9;
    boolean dueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return frees / (1 + lostSeconds) / (dueSoon ? 2 : 1);
  }

  private List<GuardAction> onQuiet(GuardTerms terms, long nowNanos) {
    allThrottled = false;
    long recoveryNanos = terms.recoveryMillis() * NANOS_PER_MILLI;
    if (nowNanos - quietSince < recoveryNanos) {
      return List.of();
    }
    if (probing != null) {
      suspicion.cleared(probing.task().program());
      probing = null;
    }
    Optional<Hold> next =
        holds.values().stream()
            .filter(hold -> nowNanos - hold.probeAt() >= 0)
            .min(
                Comparator.comparingDouble((Hold hold) -> suspicion.of(hold.task().program()))
                    .thenComparingLong(hold -> hold.task().startedNanos()));
    if (next.isEmpty()) {
      return List.of();
    }
    // Alone, so that a service that slows again tells which task it was.
    return List.of(probe(terms, next.get(), nowNanos));
  }

  private GuardAction probe(GuardTerms terms, Hold hold, long nowNanos) {
    GuardedTask task = hold.task();
    probing = hold;
    if (hold.looser() == LOOSE) {
      holds.remove(task.token());
    } else {
      holds.put(task.token(), new Hold(task, hold.looser(), probeAt(terms, task, nowNanos)));
    }
    quietSince = nowNanos;
    nextStep = nowNanos + SETTLE_NANOS;
    return new GuardAction.Throttle(task.token(), hold.looser(), "the service is quiet");
  }

  private void forgetEnded(List<GuardedTask> tasks) {
    Set<Long> running = new HashSet<>();
    tasks.forEach(task -> running.add(task.token()));
    holds.keySet().retainAll(running);
    if (probing != null && !running.contains(probing.task().token())) {
      probing = null;
    }
  }

  private static String slowness(double pressure) {
    return String.format(
        Locale.ROOT, "the service's tail latency is %.2f times its goal", pressure);
  }
}
