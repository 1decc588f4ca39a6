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

  private static void assertNoViolations(TaskTestCluster cluster) {
    assertEquals(List.of(), cluster.violations());
    assertEquals(0, cluster.askedOverCapacity());
  }

  /**
   * Asserts that each attempt resumes from the checkpoint of the attempt before it or a later one.
   */
  private static void assertNoWorkRedone(TaskTestCluster cluster) {
    Map<String, Long> resumed = new HashMap<>();
    List<WorkerRun> runs = cluster.runs();
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
    TaskTestCluster cluster = new TaskTestCluster(seed, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, 30_000));
    cluster.run(8_000);
    cluster.vm(1).pressure(3);
    return cluster;
  }

  /**
   * A service stays slow although tasks are throttled. Tasks are evicted one after the other, and
   * each resumes once from the checkpoint that its eviction wrote.
   */
  @Test
  void evictedTasksResumeOnceFromTheirCheckpoint() {
    TaskTestCluster cluster = clusterUnderPressure(1);
    assertTrue(cluster.runUntilEnded(400_000));

    assertEquals(8, cluster.jobState("payout").done());
    int evictions = cluster.tasks("payout").stream().mapToInt(TaskState::evictions).sum();
    assertTrue(evictions > 0 && evictions <= 4, () -> "evictions " + evictions);
    assertNoViolations(cluster);
    assertNoWorkRedone(cluster);
  }

  /**
   * Tasks that write no periodic checkpoints are evicted. The eviction writes a checkpoint, and the
   * next attempt must resume from it.
   */
  @Test
  void theNextAttemptResumesFromTheEvictionCheckpoint() {
    TaskTestCluster cluster = new TaskTestCluster(4, 2, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, 30_000, 0));
    cluster.run(8_000);
    cluster.vm(1).pressure(3);
    assertTrue(cluster.runUntilEnded(400_000));

    List<WorkerRun> resumed = cluster.runs().stream().filter(run -> run.attempt() > 1).toList();
    assertFalse(resumed.isEmpty());
    assertTrue(resumed.stream().noneMatch(run -> run.checkpoint().isEmpty()));
    assertNoViolations(cluster);
  }

  /** Responses to checkpoints and stops are lost while tasks are evicted. */
  @Test
  void lostResponsesDuringAnEvictionLoseNoWork() {
    TaskTestCluster cluster = clusterUnderPressure(2);
    cluster.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    assertTrue(cluster.runUntilEnded(400_000));

    assertEquals(8, cluster.jobState("payout").done());
    assertNoViolations(cluster);
    assertNoWorkRedone(cluster);
  }

  /** The side process is restarted several times, at arbitrary points of an eviction. */
  @Property(tries = 40, seed = "91")
  void anEvictionInterruptedAnywhereResumesOnce(
      @ForAll @IntRange(max = 1_000) int seed,
      @ForAll @IntRange(min = 1, max = 120) int everySteps) {
    TaskTestCluster cluster = clusterUnderPressure(seed);
    IntStream.range(0, 6)
        .forEach(
            kill -> {
              cluster.run(TaskTestCluster.STEP_MILLIS * everySteps);
              cluster.vm(1).startSide();
            });
    cluster.vm(1).pressure(0);

    assertTrue(cluster.runUntilEnded(400_000));
    assertEquals(8, cluster.jobState("payout").done());
    assertNoViolations(cluster);
    assertNoWorkRedone(cluster);
  }

  /**
   * One of three workers fails every task. It is quarantined after a few failures, and the others
   * complete the job.
   */
  @Test
  void quarantinesAWorkerThatFailsEverything() {
    TaskTestCluster cluster = new TaskTestCluster(3, 2, 3, CAPACITY_FOR_FOUR);
    cluster.vm(1).worker().setFaults(WorkerFaults.none().withFailEverything(true));
    cluster.submit(TaskTestCluster.job("payout", 60, 2_000));
    assertTrue(cluster.runUntilEnded(120_000));

    assertEquals(60, cluster.jobState("payout").done());
    long failed = cluster.runs().stream().filter(run -> run.worker().equals("vm-1")).count();
    assertTrue(failed <= 16, () -> "failed " + failed);
    assertFalse(cluster.runs().isEmpty());
    assertNoViolations(cluster);
  }
}
