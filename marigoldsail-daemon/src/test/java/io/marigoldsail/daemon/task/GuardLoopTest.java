package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.testlib.platform.WorkerFaults;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class GuardLoopTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);

  private static void assertNoViolations(TaskTestCluster world) {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.askedOverCapacity());
  }

  /** Each attempt begins where the one before it had written its last checkpoint, or later. */
  private static void assertNoWorkRedone(TaskTestCluster world) {
    Map<String, Long> resumed = new HashMap<>();
    List<WorkerRun> runs = world.runs();
    runs.sort(Comparator.comparingLong(WorkerRun::token));
    for (WorkerRun run : runs) {
      long from =
          run.checkpoint().isEmpty()
              ? 0
              : Long.parseLong(run.checkpoint().replace("progress-", ""));
      assertTrue(from >= resumed.getOrDefault(run.task(), 0L), run::toString);
      resumed.put(run.task(), from);
    }
  }

  private static TaskTestCluster clusterUnderPressure(long seed) {
    TaskTestCluster world = new TaskTestCluster(seed, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, 30_000));
    world.run(8_000);
    world.vm(1).pressure(3);
    return world;
  }

  /**
   * A service is slow whatever is throttled. Tasks are evicted one after the other; each resumes
   * once, on the other VM, from the checkpoint that its eviction wrote.
   */
  @Test
  void evictedTasksResumeOnceFromTheirCheckpoint() {
    TaskTestCluster world = clusterUnderPressure(1);
    assertTrue(world.runUntilEnded(400_000));

    assertEquals(8, world.jobState("payout").done());
    int evictions = world.tasks("payout").stream().mapToInt(TaskState::evictions).sum();
    assertTrue(evictions > 0 && evictions <= 4, () -> "evictions " + evictions);
    assertNoViolations(world);
    assertNoWorkRedone(world);
  }

  /**
   * Tasks that write no checkpoints by themselves are evicted. The eviction writes one, and the
   * next attempt begins there, not from the start.
   */
  @Test
  void theNextAttemptResumesFromTheEvictionCheckpoint() {
    TaskTestCluster world = new TaskTestCluster(4, 2, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, 30_000, 0));
    world.run(8_000);
    world.vm(1).pressure(3);
    assertTrue(world.runUntilEnded(400_000));

    List<WorkerRun> resumed = world.runs().stream().filter(run -> run.attempt() > 1).toList();
    assertFalse(resumed.isEmpty());
    assertTrue(resumed.stream().noneMatch(run -> run.checkpoint().isEmpty()));
    assertNoViolations(world);
  }

  /** The answers to checkpoints and stops are lost while tasks are being evicted. */
  @Test
  void lostResponsesDuringAnEvictionLoseNoWork() {
    TaskTestCluster world = clusterUnderPressure(2);
    world.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    assertTrue(world.runUntilEnded(400_000));

    assertEquals(8, world.jobState("payout").done());
    assertNoViolations(world);
    assertNoWorkRedone(world);
  }

  /** The side process that evicts is killed and started again, at any moment and several times. */
  @Property(tries = 40, seed = "91")
  void anEvictionInterruptedAnywhereResumesOnce(
      @ForAll @IntRange(max = 1_000) int seed,
      @ForAll @IntRange(min = 1, max = 120) int everySteps) {
    TaskTestCluster world = clusterUnderPressure(seed);
    IntStream.range(0, 6)
        .forEach(
            kill -> {
              world.run(TaskTestCluster.STEP_MILLIS * everySteps);
              world.vm(1).startSide();
            });
    world.vm(1).pressure(0);

    assertTrue(world.runUntilEnded(400_000));
    assertEquals(8, world.jobState("payout").done());
    assertNoViolations(world);
    assertNoWorkRedone(world);
  }

  /**
   * One of three workers fails everything it starts. It is set apart after a few tasks, and the job
   * is done by the others.
   */
  @Test
  void quarantinesAWorkerThatFailsEverything() {
    TaskTestCluster world = new TaskTestCluster(3, 2, 3, CAPACITY_FOR_FOUR);
    world.vm(1).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    world.submit(TaskTestCluster.job("payout", 60, 2_000));
    assertTrue(world.runUntilEnded(120_000));

    assertEquals(60, world.jobState("payout").done());
    long failed = world.runs().stream().filter(run -> run.worker().equals("vm-1")).count();
    assertTrue(failed <= 16, () -> "failed " + failed);
    assertFalse(world.runs().isEmpty());
    assertNoViolations(world);
  }
}
