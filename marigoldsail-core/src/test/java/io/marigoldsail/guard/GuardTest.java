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
  private GuardPolicy policy = GuardPolicy.VATULELE;

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

  /** Runs the guard on a service whose pressure depends on the tasks that run unthrottled. */
  private void run(long seconds, ToDoubleFunction<List<Long>> pressure) {
    for (long until = now + seconds * SECOND; now < until; now += STEP) {
      ServiceReading reading = new ServiceReading(pressure.applyAsDouble(unthrottled), 1, now);
      List<GuardAction> decided =
          guard.decide(policy, Optional.of(reading), List.copyOf(tasks), now, 0);
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
    run(60, unthrottledTokens -> 0.5);

    assertEquals(List.of(), actions);
  }

  /**
   * One of four tasks slows the service down. It is throttled, nothing is evicted, and once the
   * guard has identified the task, the others run unthrottled.
   */
  @Test
  void throttlesOnlyTheInterferingTask() {
    add(1, "calm", 0, 0);
    add(2, "noisy", 0, 0);
    add(3, "calm", 0, 0);
    add(4, "calm", 0, 0);
    run(120, unthrottledTokens -> unthrottledTokens.contains(2L) ? 1.5 : 0.5);

    assertEquals(0, evictions());
    assertTrue(unthrottled.containsAll(List.of(1L, 3L, 4L)), () -> "unthrottled: " + unthrottled);
  }

  /**
   * Each probe of a task that is known to interfere slows the service down, so probes become rare.
   */
  @Test
  void probesAKnownInterferingTaskRarely() {
    add(1, "calm", 0, 0);
    add(2, "noisy", 0, 0);
    run(600, unthrottledTokens -> unthrottledTokens.contains(2L) ? 1.5 : 0.5);

    long probes =
        actions.stream()
            .filter(action -> action.token() == 2)
            .filter(action -> action.reason().contains("recovered"))
            .count();
    assertTrue(probes > 2 && probes < 40, () -> "probes " + probes);
  }

  /** Guards against oscillation: readings lag, so nothing changes between the two thresholds. */
  @Test
  void doesNothingBetweenTheThresholds() {
    add(1, "noisy", 0, 0);
    run(2, unthrottledTokens -> 1.2);
    int before = actions.size();
    run(60, unthrottledTokens -> 0.9);

    assertEquals(before, actions.size());
    assertFalse(unthrottled.contains(1L));
  }

  /**
   * Throttling does not help, for example with a task that saturates the memory bus even at a low
   * share. Only then one task is evicted, the one that loses least work.
   */
  @Test
  void evictsTheTaskWithLeastLostWorkWhenThrottlingFails() {
    add(1, "a", 0, 0);
    add(2, "b", 0, 1);
    add(3, "c", 0, 0);
    run(14, unthrottledTokens -> 1.4);

    assertEquals(1, evictions());
    assertEquals(2, actions.get(actions.size() - 1).token());
  }

  /** Guards against evicting task after task in vain when callers overload the service. */
  @Test
  void limitsEvictionsToTheBudget() {
    for (int token = 1; token <= 16; token++) {
      add(token, "calm", 0, 0);
    }
    run(600, unthrottledTokens -> 3);

    assertTrue(evictions() <= 5, () -> "evictions " + evictions());
  }

  /**
   * Where evictions weigh more, a slowdown that causes an eviction at Vatulele does not cause one.
   */
  @Test
  void weightsSetTheEvictionThreshold() {
    policy = GuardPolicy.KITAMIZORA;
    guard = new Guard(policy, now);
    add(1, "noisy", 0, 0);
    run(60, unthrottledTokens -> 1.4);

    assertEquals(0, evictions());
  }

  /** Guards against acting on readings of a service that is no longer measured. */
  @Test
  void ignoresStaleReadings() {
    add(1, "calm", 0, 0);
    ServiceReading old = new ServiceReading(9, 1, now - 20 * SECOND);

    assertEquals(List.of(), guard.decide(policy, Optional.of(old), List.copyOf(tasks), now, 0));
  }

  /**
   * Memory cannot be throttled, so the task that exceeds its booking most is evicted before the VM
   * runs out.
   */
  @Test
  void evictsTheTaskThatExceedsItsMemoryMost() {
    Sizes large = new Sizes(1_000, 3_000, 0);
    GuardedTask withinBooking = new GuardedTask(1, "a", BOOKED, BOOKED, 0, 0, 0, 0, true);
    GuardedTask overBooking = new GuardedTask(2, "b", BOOKED, large, 0, 0, 0, 0, true);

    assertEquals(
        Optional.empty(), MemoryGuard.decide(List.of(withinBooking, overBooking), 0, 10_000));
    assertEquals(
        2L,
        MemoryGuard.decide(List.of(withinBooking, overBooking), 0, 4_000).orElseThrow().token());
  }
}
