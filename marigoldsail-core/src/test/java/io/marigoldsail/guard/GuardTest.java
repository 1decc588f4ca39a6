package io.marigoldsail.guard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;

class GuardTest {
  private static final long SECOND = 1_000_000_000L;
  private static final long STEP = SECOND / 2;
  private static final Sizes BOOKED = new Sizes(1_000, 1_000, 0);

  private final List<GuardedTask> tasks = new ArrayList<>();
  private final List<GuardAction> actions = new ArrayList<>();
  private final List<Long> unthrottled = new ArrayList<>();
  private long now = SECOND;
  private Guard guard = new Guard(GuardPolicy.VATULELE, now);
  private GuardPolicy terms = GuardPolicy.VATULELE;

  private void add(long token, String program, long startedSecond, long checkpointedSecond) {
    tasks.add(
        new GuardedTask(
            token,
            program,
            BOOKED,
            BOOKED,
            startedSecond * SECOND,
            checkpointedSecond * SECOND,
            0,
            0,
            true));
    unthrottled.add(token);
  }

  /** Runs the guard on a service whose pressure follows from which tasks are loose. */
  private void run(long seconds, ToDoubleFunction<List<Long>> pressure) {
    for (long until = now + seconds * SECOND; now < until; now += STEP) {
      ServiceReading reading = new ServiceReading(pressure.applyAsDouble(unthrottled), 1, now);
      List<GuardAction> decided =
          guard.decide(terms, Optional.of(reading), List.copyOf(tasks), now, 0);
      decided.forEach(this::apply);
      actions.addAll(decided);
    }
  }

  private void apply(GuardAction action) {
    unthrottled.remove(action.token());
    if (action instanceof GuardAction.Throttle throttle && throttle.percent() == 100) {
      unthrottled.add(action.token());
    }
    if (action instanceof GuardAction.Evict) {
      tasks.removeIf(task -> task.token() == action.token());
    }
  }

  private long evictions() {
    return actions.stream().filter(action -> action instanceof GuardAction.Evict).count();
  }

  @Test
  void doesNotThrottleBesideAHealthyService() {
    add(1, "calm", 0, 0);
    run(60, running -> 0.5);

    assertEquals(List.of(), actions);
  }

  /**
   * One of four tasks slows the service. It is throttled, nothing is evicted, and once the guard
   * has learned which it was, the others run free.
   */
  @Test
  void throttlesOnlyTheInterferingTask() {
    add(1, "calm", 0, 0);
    add(2, "noisy", 0, 0);
    add(3, "calm", 0, 0);
    add(4, "calm", 0, 0);
    run(120, running -> running.contains(2L) ? 1.5 : 0.5);

    assertEquals(0, evictions());
    assertTrue(unthrottled.containsAll(List.of(1L, 3L, 4L)), () -> "loose: " + unthrottled);
  }

  /** Each try of a known culprit costs the service a slow moment, so tries become rare. */
  @Test
  void probesAKnownInterferingTaskRarely() {
    add(1, "calm", 0, 0);
    add(2, "noisy", 0, 0);
    run(600, running -> running.contains(2L) ? 1.5 : 0.5);

    long tries =
        actions.stream()
            .filter(action -> action.token() == 2)
            .filter(action -> action.reason().contains("quiet"))
            .count();
    assertTrue(tries > 2 && tries < 40, () -> "tries " + tries);
  }

  /** Between quiet and slow nothing changes, or lagging readings would make the guard swing. */
  @Test
  void doesNothingBetweenTheThresholds() {
    add(1, "noisy", 0, 0);
    run(2, running -> 1.2);
    int before = actions.size();
    run(60, running -> 0.9);

    assertEquals(before, actions.size());
    assertFalse(unthrottled.contains(1L));
  }

  /**
   * Throttling does not help, as with a task that thrashes the memory bus however little it runs.
   * Only then a task is evicted, the one that loses least work.
   */
  @Test
  void evictsTheTaskWithLeastLostWorkWhenThrottlingFails() {
    add(1, "a", 0, 0);
    add(2, "b", 0, 1);
    add(3, "c", 0, 0);
    run(14, running -> 1.4);

    assertEquals(1, evictions());
    assertEquals(2, actions.get(actions.size() - 1).token());
  }

  /** A service that is overloaded by its own callers is not helped by evicting task after task. */
  @Test
  void limitsEvictionsToTheBudget() {
    for (int token = 1; token <= 16; token++) {
      add(token, "calm", 0, 0);
    }
    run(600, running -> 3);

    assertTrue(evictions() <= 5, () -> "evictions " + evictions());
  }

  /** Where evictions weigh more, a slowness that Vatulele evicts for is borne. */
  @Test
  void weightsSetTheEvictionThreshold() {
    terms = GuardPolicy.KITAMIZORA;
    guard = new Guard(terms, now);
    add(1, "noisy", 0, 0);
    run(60, running -> 1.4);

    assertEquals(0, evictions());
  }

  /** Readings that ceased to come say nothing about now. */
  @Test
  void ignoresStaleReadings() {
    add(1, "calm", 0, 0);
    ServiceReading old = new ServiceReading(9, 1, now - 20 * SECOND);

    assertEquals(List.of(), guard.decide(terms, Optional.of(old), List.copyOf(tasks), now, 0));
  }

  /** Memory cannot be throttled: what exceeds its booking most goes before the VM runs out. */
  @Test
  void evictsTheTaskThatExceedsItsMemoryMost() {
    Sizes large = new Sizes(1_000, 3_000, 0);
    GuardedTask honest = new GuardedTask(1, "a", BOOKED, BOOKED, 0, 0, 0, 0, true);
    GuardedTask liar = new GuardedTask(2, "b", BOOKED, large, 0, 0, 0, 0, true);

    assertEquals(Optional.empty(), MemoryGuard.decide(List.of(honest, liar), 0, 10_000));
    assertEquals(2L, MemoryGuard.decide(List.of(honest, liar), 0, 4_000).orElseThrow().token());
  }
}
