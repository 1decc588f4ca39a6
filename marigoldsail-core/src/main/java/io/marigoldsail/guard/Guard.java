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
 * Decides how to throttle and evict the batch tasks of one VM so that its service meets its latency
 * goal.
 *
 * <p>Interfering tasks slow the service down, which shows only in measurements that arrive late and
 * do not name the task. Immediate eviction loses the work of the wrong tasks and moves the
 * interference to the next VM; no action lets the service miss its goal. So the guard throttles
 * first, halving the processor share of the tasks with the highest interference score (programs
 * that slowed the service down before, then the youngest and largest), and of twice as many tasks
 * at each step while the service stays slow. When the service has recovered, it relaxes tasks one
 * by one and learns from the result: a task that slows the service down again is throttled again
 * and waits twice as long for its next try. It evicts only when all tasks have been throttled for a
 * while and the service is still slower than the site's weights allow: one task per settling time,
 * within a budget, the one that frees most for the least lost work.
 *
 * <p>Between the two pressures nothing changes (hysteresis): readings lag, so acting on each would
 * react to the same interference several times. Not thread-safe; a decision sorts the VM's tasks.
 */
public final class Guard {
  /** Pressure above which the service is slow; a little below its goal, because readings lag. */
  static final double SLOW_PRESSURE = 0.95;

  /** Pressure up to which the service has recovered. */
  static final double RECOVERED_PRESSURE = 0.8;

  /**
   * Time for an action to show in the readings, in nanoseconds: as long as a reading lags. Twice as
   * long gained no throughput over three seeds and worsened the tail latency of the service.
   */
  static final long SETTLE_NANOS = 1_000_000_000L;

  /** How long all tasks must have been throttled before an eviction, in nanoseconds. */
  static final long EVICT_AFTER_NANOS = 5_000_000_000L;

  /** Readings older than this are ignored, in nanoseconds. */
  static final long STALE_NANOS = 10_000_000_000L;

  /** Lowest processor share of a task, in percent: enough to go on writing checkpoints. */
  static final int MIN_PERCENT = 10;

  private static final int UNTHROTTLED_PERCENT = 100;

  /** Expected slowdown that raises the score as much as one confirmation on this VM. */
  private static final double SLOWDOWN_PER_SCORE = 0.2;

  /**
   * How long several interfering tasks stay at the lowest share before one of them is evicted, in
   * nanoseconds.
   */
  private static final long STUCK_NANOS = 20_000_000_000L;

  /** Limits the wait of a program that is confirmed repeatedly: it is tried about once a minute. */
  private static final double MAX_DOUBLINGS = 5;

  /** More tasks than a VM runs; prevents an overflow while a service is slow for a minute. */
  private static final int MAX_BATCH = 1_024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Lost work counts double if the task is due within this time, in milliseconds. */
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
   * A throttled task.
   *
   * @param task the task
   * @param percent its processor share, in percent
   * @param probeAt when it may be tried with a higher share
   */
  private record ThrottledTask(GuardedTask task, int percent, long probeAt) {
    int tightenedPercent() {
      return Math.max(MIN_PERCENT, percent / 2);
    }

    int relaxedPercent() {
      return Math.min(UNTHROTTLED_PERCENT, percent * 2);
    }
  }

  /** Creates a guard without throttled tasks. */
  public Guard(GuardPolicy policy, long nowNanos) {
    this.budget = new EvictionBudget(policy, nowNanos);
    this.nextActionNanos = nowNanos;
    this.recoveredSince = nowNanos;
    this.stuckSince = nowNanos;
  }

  /**
   * Returns the actions to take now.
   *
   * @param policy the policy in force
   * @param reading the tail latency of the service, or empty if it serves nothing
   * @param tasks the running batch tasks
   * @param nowNanos the clock of this process, in nanoseconds
   * @param nowMillis the clock of this VM in milliseconds, for deadlines of tasks only
   */
  public List<GuardAction> decide(
      GuardPolicy policy,
      Optional<ServiceReading> reading,
      List<GuardedTask> tasks,
      long nowNanos,
      long nowMillis) {
    dropEnded(tasks);
    double pressure = pressure(reading, nowNanos);
    if (pressure > RECOVERED_PRESSURE) {
      recoveredSince = nowNanos;
    }
    if (nowNanos - nextActionNanos < 0) {
      return List.of();
    }
    List<GuardAction> evictions = evictStuck(policy, tasks, nowNanos, nowMillis);
    if (!evictions.isEmpty()) {
      nextActionNanos = nowNanos + SETTLE_NANOS;
      return evictions;
    }
    if (pressure > SLOW_PRESSURE) {
      return onSlow(policy, pressure, tasks, nowNanos, nowMillis);
    }
    wasSlow = false;
    throttleBatch = 1;
    return relax(policy, nowNanos);
  }

  /** Counts an eviction for urgent work, decided by an entry, against this VM's budget. */
  public void recordPreemption(GuardPolicy policy, long nowNanos) {
    budget.consume(policy, nowNanos);
  }

  private static double pressure(Optional<ServiceReading> reading, long nowNanos) {
    boolean fresh = reading.isPresent() && nowNanos - reading.get().measuredNanos() < STALE_NANOS;
    return fresh ? reading.get().pressure() : 0;
  }

  private List<GuardAction> onSlow(
      GuardPolicy policy, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    nextActionNanos = nowNanos + SETTLE_NANOS;
    List<GuardAction> reverted = revertProbes(policy, pressure, nowNanos);
    if (!reverted.isEmpty()) {
      return reverted;
    }
    List<GuardAction> actions = throttleMore(policy, pressure, tasks, nowNanos);
    if (!actions.isEmpty()) {
      allThrottled = false;
      return actions;
    }
    if (!allThrottled) {
      allThrottled = true;
      allThrottledSince = nowNanos;
    }
    boolean longEnough = nowNanos - allThrottledSince >= EVICT_AFTER_NANOS;
    if (!longEnough || pressure <= policy.evictionPressure()) {
      return List.of();
    }
    return evictOne(policy, pressure, tasks, nowNanos, nowMillis);
  }

  /** Throttles the tasks again after whose relaxing the service slowed down, with a longer wait. */
  private List<GuardAction> revertProbes(GuardPolicy policy, double pressure, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (ThrottledTask throttledTask : probing) {
      GuardedTask task = throttledTask.task();
      scores.confirm(task.program(), 1.0 / probing.size());
      ThrottledTask before =
          new ThrottledTask(task, throttledTask.percent(), probeAt(policy, task, nowNanos));
      throttled.put(task.token(), before);
      actions.add(
          new GuardAction.Throttle(task.token(), before.percent(), describePressure(pressure)));
    }
    probing = List.of();
    probeBatch = 1;
    return actions;
  }

  private List<GuardAction> throttleMore(
      GuardPolicy policy, double pressure, List<GuardedTask> tasks, long nowNanos) {
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
      ThrottledTask throttledTask =
          new ThrottledTask(task, percent(task), probeAt(policy, task, nowNanos));
      ThrottledTask tightened =
          new ThrottledTask(task, throttledTask.tightenedPercent(), throttledTask.probeAt());
      throttled.put(task.token(), tightened);
      actions.add(
          new GuardAction.Throttle(task.token(), tightened.percent(), describePressure(pressure)));
    }
    return actions;
  }

  /**
   * Returns the interference score of the task, from this VM and from what entries learned
   * elsewhere.
   */
  private double interferenceScore(GuardedTask task) {
    return scores.score(task.program()) + task.expectedSlowdown() / SLOWDOWN_PER_SCORE;
  }

  private int percent(GuardedTask task) {
    ThrottledTask throttledTask = throttled.get(task.token());
    return throttledTask == null ? UNTHROTTLED_PERCENT : throttledTask.percent();
  }

  /** Returns when a task may be tried with a higher share: later the higher its score is. */
  private long probeAt(GuardPolicy policy, GuardedTask task, long nowNanos) {
    double doublings = Math.min(MAX_DOUBLINGS, interferenceScore(task));
    return nowNanos + (long) (policy.recoveryMillis() * NANOS_PER_MILLI * Math.pow(2, doublings));
  }

  private List<GuardAction> evictOne(
      GuardPolicy policy, double pressure, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    Optional<GuardedTask> victim =
        tasks.stream()
            .filter(GuardedTask::evictable)
            .max(Comparator.comparingDouble(task -> evictionValue(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.tryConsume(policy, nowNanos)) {
      return List.of();
    }
    // The next eviction waits until this one can show in the readings.
    allThrottledSince = nowNanos;
    throttled.remove(victim.get().token());
    return List.of(
        new GuardAction.Evict(
            victim.get().token(),
            describePressure(pressure) + " although all batch tasks are throttled"));
  }

  /** Returns the benefit of evicting the task relative to the work that it loses. */
  private double evictionValue(GuardedTask task, long nowNanos, long nowMillis) {
    double freed = (1 + interferenceScore(task)) * (1 + task.used().milliProcessors());
    double lostSeconds = (nowNanos - task.checkpointedNanos()) / 1e9;
    boolean isDueSoon =
        task.finishByMillis() > 0 && task.finishByMillis() - nowMillis < DUE_SOON_MILLIS;
    return freed / (1 + lostSeconds) / (isDueSoon ? 2 : 1);
  }

  private List<GuardAction> relax(GuardPolicy policy, long nowNanos) {
    allThrottled = false;
    long recoveryNanos = policy.recoveryMillis() * NANOS_PER_MILLI;
    if (nowNanos - recoveredSince < recoveryNanos) {
      return List.of();
    }
    probing.forEach(throttledTask -> scores.clear(throttledTask.task().program()));
    probeBatch = probing.isEmpty() ? probeBatch : Math.min(MAX_BATCH, probeBatch * 2);
    probing = List.of();
    List<ThrottledTask> next =
        throttled.values().stream()
            .filter(throttledTask -> nowNanos - throttledTask.probeAt() >= 0)
            .sorted(
                Comparator.comparingDouble(
                        (ThrottledTask throttledTask) -> interferenceScore(throttledTask.task()))
                    .thenComparingLong(throttledTask -> throttledTask.task().startedNanos()))
            .toList();
    if (next.isEmpty()) {
      probeBatch = 1;
      return List.of();
    }
    return probe(policy, next.subList(0, Math.min(probeBatch, next.size())), nowNanos);
  }

  /**
   * Doubles the share of tasks: of one at first, so that a service that slows down again identifies
   * it, then of more at a time while the service stays fast.
   */
  private List<GuardAction> probe(GuardPolicy policy, List<ThrottledTask> chosen, long nowNanos) {
    List<GuardAction> actions = new ArrayList<>();
    for (ThrottledTask throttledTask : chosen) {
      GuardedTask task = throttledTask.task();
      if (throttledTask.relaxedPercent() == UNTHROTTLED_PERCENT) {
        throttled.remove(task.token());
      } else {
        throttled.put(
            task.token(),
            new ThrottledTask(
                task, throttledTask.relaxedPercent(), probeAt(policy, task, nowNanos)));
      }
      actions.add(
          new GuardAction.Throttle(
              task.token(), throttledTask.relaxedPercent(), "the service has recovered"));
    }
    probing = List.copyOf(chosen);
    recoveredSince = nowNanos;
    nextActionNanos = nowNanos + SETTLE_NANOS;
    return actions;
  }

  /**
   * Evicts one of several interfering tasks that have stayed at the lowest share for long. Each of
   * them holds its resources ten times as long as its work takes, and together they can never be
   * relaxed here; on another VM, or later, one alone can.
   */
  private List<GuardAction> evictStuck(
      GuardPolicy policy, List<GuardedTask> tasks, long nowNanos, long nowMillis) {
    List<GuardedTask> stuckTasks =
        tasks.stream()
            .filter(task -> percent(task) <= MIN_PERCENT && interferenceScore(task) >= 1)
            .toList();
    if (stuckTasks.size() < 2) {
      stuckSince = nowNanos;
      return List.of();
    }
    if (nowNanos - stuckSince < STUCK_NANOS) {
      return List.of();
    }
    Optional<GuardedTask> victim =
        stuckTasks.stream()
            .filter(GuardedTask::evictable)
            .max(Comparator.comparingDouble(task -> evictionValue(task, nowNanos, nowMillis)));
    if (victim.isEmpty() || !budget.tryConsume(policy, nowNanos)) {
      return List.of();
    }
    throttled.remove(victim.get().token());
    String reason = "one of %d interfering tasks that cannot run unthrottled together here";
    return List.of(
        new GuardAction.Evict(victim.get().token(), reason.formatted(stuckTasks.size())));
  }

  private void dropEnded(List<GuardedTask> tasks) {
    Set<Long> running = new HashSet<>();
    tasks.forEach(task -> running.add(task.token()));
    throttled.keySet().retainAll(running);
    probing =
        probing.stream()
            .filter(throttledTask -> running.contains(throttledTask.task().token()))
            .toList();
  }

  private static String describePressure(double pressure) {
    return String.format(
        Locale.ROOT, "the service's tail latency is %.2f times its goal", pressure);
  }
}
