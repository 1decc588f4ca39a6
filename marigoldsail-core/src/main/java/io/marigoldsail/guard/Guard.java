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
  static final double SLOW_PRESSURE = 0.95;

  /** The service is quiet up to here. */
  static final double RECOVERED_PRESSURE = 0.8;

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
  static final int MIN_PERCENT = 10;

  private static final int UNTHROTTLED_PERCENT = 100;

  /** Expected noise that weighs as much as one confirmed suspicion here. */
  private static final double SLOWDOWN_PER_SCORE = 0.2;

  /** A suspect that was throttled to the least for so long goes, if it is not the only one. */
  private static final long STUCK_NANOS = 20_000_000_000L;

  /** A program confirmed again and again is tried about once a minute. */
  private static final double MAX_DOUBLINGS = 5;

  /** More tasks than a VM runs; keeps a service that is slow for a minute from overflowing. */
  private static final int MAX_BATCH = 1_024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Work lost weighs double where the task is due within this time, in milliseconds. */
  private static final long DUE_SOON_MILLIS = 600_000;

  private final InterferenceScores scores = new InterferenceScores();
  private final Map<Long, ThrottledTask> throttled = new HashMap<>();
  private final EvictionBudget budget;
  private List<ThrottledTask> probing = List.of();
  private long nextActionNanos;
  private long recoveredSince;
  private long allThrottledSince;
  private long stuckSince;
  private boolean wasSlow;
  private boolean allThrottled;
  private int throttleBatch = 1;
  private int probeBatch = 1;

  /**
   * A task that is throttled.
   *
   * @param percent how much it may use
   * @param probeAt from when on it may be tried with more
   */
  private record ThrottledTask(GuardedTask task, int percent, long probeAt) {
    int tightenedPercent() {
      return Math.max(MIN_PERCENT, percent / 2);
    }

    int relaxedPercent() {
      return Math.min(UNTHROTTLED_PERCENT, percent * 2);
    }
  }

  /** Creates a guard that throttles nothing. */
  public Guard(GuardPolicy terms, long nowNanos) {
    this.budget = new EvictionBudget(terms, nowNanos);
    this.nextActionNanos = nowNanos;
    this.recoveredSince = nowNanos;
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
      GuardPolicy terms,
      Optional<ServiceReading> reading,
      List<GuardedTask> tasks,
      long nowNanos,
      long nowMillis) {
    forgetEnded(tasks);
    double pressure = pressure(reading, nowNanos);
    if (pressure > RECOVERED_PRESSURE) {
      recoveredSince = nowNanos;
    }
    if (nowNanos - nextActionNanos < 0) {
      return List.of();
    }
    List<GuardAction> stuck = evictStuck(terms, tasks, nowNanos, nowMillis);
    if (!stuck.isEmpty()) {
      nextActionNanos = nowNanos + SETTLE_NANOS;
      return stuck;
    }
    if (pressure > SLOW_PRESSURE) {
      return onSlow(terms, pressure, tasks, nowNanos, nowMillis);
    }
    wasSlow = false;
    throttleBatch = 1;
    return relax(terms, nowNanos);
  }

  /** Counts an eviction for urgent work, which an entry decided, against this VM's budget. */
  public void recordPreemption(GuardPolicy terms, long nowNanos) {
    budget.consume(terms, nowNanos);
  }

  private static double pressure(Optional<ServiceReading> reading, long nowNanos) {
    boolean fresh = reading.isPresent() && nowNanos - reading.get().measuredNanos() < STALE_NANOS;
    return fresh ? reading.get().pressure() : 0;
  }

  private List<GuardAction> onSlow(
      GuardPolicy terms, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    nextActionNanos = nowNanos + SETTLE_NANOS;
    List<GuardAction> takenBack = revertProbes(terms, pressure, nowNanos);
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
  private List<GuardAction> revertProbes(GuardPolicy terms, double pressure, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (ThrottledTask hold : probing) {
      GuardedTask task = hold.task();
      scores.confirm(task.program(), 1.0 / probing.size());
      ThrottledTask before =
          new ThrottledTask(task, hold.percent(), probeAt(terms, task, nowNanos));
      throttled.put(task.token(), before);
      actions.add(
          new GuardAction.Throttle(task.token(), before.percent(), describePressure(pressure)));
    }
    probing = List.of();
    probeBatch = 1;
    return actions;
  }

  private List<GuardAction> throttleMore(
      GuardPolicy terms, double pressure, List<GuardedTask> tasks, long nowNanos) {
    List<GuardedTask> candidates = new ArrayList<>(tasks);
    candidates.removeIf(task -> percent(task) <= MIN_PERCENT);
    candidates.sort(
        Comparator.comparingDouble((GuardedTask task) -> -interferenceScore(task))
            .thenComparingLong(task -> -task.startedNanos())
            .thenComparingLong(task -> -task.used().milliProcessors()));
    throttleBatch = wasSlow ? Math.min(throttleBatch * 2, MAX_BATCH) : 1;
    wasSlow = true;
    List<GuardAction> actions = new ArrayList<>();
    for (GuardedTask task : candidates.subList(0, Math.min(throttleBatch, candidates.size()))) {
      ThrottledTask hold = new ThrottledTask(task, percent(task), probeAt(terms, task, nowNanos));
      ThrottledTask tighter = new ThrottledTask(task, hold.tightenedPercent(), hold.probeAt());
      throttled.put(task.token(), tighter);
      actions.add(
          new GuardAction.Throttle(task.token(), tighter.percent(), describePressure(pressure)));
    }
    return actions;
  }

  /** Returns how much the task is suspected, here and by what entries learned elsewhere. */
  private double interferenceScore(GuardedTask task) {
    return scores.score(task.program()) + task.expectedSlowdown() / SLOWDOWN_PER_SCORE;
  }

  private int percent(GuardedTask task) {
    ThrottledTask hold = throttled.get(task.token());
    return hold == null ? UNTHROTTLED_PERCENT : hold.percent();
  }

  /** Returns when a task may be tried with more: later, the more its program is suspected. */
  private long probeAt(GuardPolicy terms, GuardedTask task, long nowNanos) {
    double doublings = Math.min(MAX_DOUBLINGS, interferenceScore(task));
    return nowNanos + (long) (terms.recoveryMillis() * NANOS_PER_MILLI * Math.pow(2, doublings));
  }

  private List<GuardAction> evictOne(
      GuardPolicy terms, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    Optional<GuardedTask> victim =
        tasks.stream()
            .filter(GuardedTask::evictable)
            .max(Comparator.comparingDouble(task -> evictionValue(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.tryConsume(terms, nowNanos)) {
      return List.of();
    }
    // The next one only after this one's leaving has had the time to show.
    allThrottledSince = nowNanos;
    throttled.remove(victim.get().token());
    return List.of(
        new GuardAction.Evict(
            victim.get().token(), describePressure(pressure) + " with all batch tasks throttled"));
  }

  /** Returns how much evicting the task helps for what it loses. */
  private double evictionValue(GuardedTask task, long nowNanos, long nowMillis) {
    double frees = (1 + interferenceScore(task)) * (1 + task.used().milliProcessors());
    double lostSeconds = (nowNanos - task.checkpointedNanos()) / 1e9;
    boolean dueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return frees / (1 + lostSeconds) / (dueSoon ? 2 : 1);
  }

  private List<GuardAction> relax(GuardPolicy terms, long nowNanos) {
    allThrottled = false;
    long recoveryNanos = terms.recoveryMillis() * NANOS_PER_MILLI;
    if (nowNanos - recoveredSince < recoveryNanos) {
      return List.of();
    }
    probing.forEach(hold -> scores.clear(hold.task().program()));
    probeBatch = probing.isEmpty() ? probeBatch : Math.min(MAX_BATCH, probeBatch * 2);
    probing = List.of();
    List<ThrottledTask> next =
        throttled.values().stream()
            .filter(hold -> nowNanos - hold.probeAt() >= 0)
            .sorted(
                Comparator.comparingDouble((ThrottledTask hold) -> interferenceScore(hold.task()))
                    .thenComparingLong(hold -> hold.task().startedNanos()))
            .toList();
    if (next.isEmpty()) {
      probeBatch = 1;
      return List.of();
    }
    return probe(terms, next.subList(0, Math.min(probeBatch, next.size())), nowNanos);
  }

  /**
   * Lets tasks have twice as much: one at first, so that a service that slows again tells which it
   * was, then more at a time as long as it stays quiet.
   */
  private List<GuardAction> probe(GuardPolicy terms, List<ThrottledTask> chosen, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (ThrottledTask hold : chosen) {
      GuardedTask task = hold.task();
      if (hold.relaxedPercent() == UNTHROTTLED_PERCENT) {
        throttled.remove(task.token());
      } else {
        throttled.put(
            task.token(),
            new ThrottledTask(task, hold.relaxedPercent(), probeAt(terms, task, nowNanos)));
      }
      actions.add(
          new GuardAction.Throttle(task.token(), hold.relaxedPercent(), "the service is quiet"));
    }
    probing = List.copyOf(chosen);
    recoveredSince = nowNanos;
    nextActionNanos = nowNanos + SETTLE_NANOS;
    return actions;
  }

  /**
   * Evicts one of several suspects that have been throttled to the least for long. Each of them
   * holds its room for ten times as long as its work takes, and together they can never be let
   * loose here; on another VM, or later, one alone can.
   */
  private List<GuardAction> evictStuck(
      GuardPolicy terms, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    List<GuardedTask> stuck =
        tasks.stream()
            .filter(task -> percent(task) <= MIN_PERCENT && interferenceScore(task) >= 1)
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
            .max(Comparator.comparingDouble(task -> evictionValue(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.tryConsume(terms, nowNanos)) {
      return List.of();
    }
    throttled.remove(victim.get().token());
    String why = "one of %d noisy tasks here that cannot be let loose together";
    return List.of(new GuardAction.Evict(victim.get().token(), why.formatted(stuck.size())));
  }

  private void forgetEnded(List<GuardedTask> tasks) {
    Set<Long> running = new HashSet<>();
    tasks.forEach(task -> running.add(task.token()));
    throttled.keySet().retainAll(running);
    probing = probing.stream().filter(h -> running.contains(h.task().token())).toList();
  }

  private static String describePressure(double pressure) {
    return String.format(
        Locale.ROOT, "the service's tail latency is %.2f times its goal", pressure);
  }
}
