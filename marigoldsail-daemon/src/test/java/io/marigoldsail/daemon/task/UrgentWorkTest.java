package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.JobSpec;
import io.marigoldsail.job.Sizes;
import io.marigoldsail.job.Spread;
import io.marigoldsail.job.TaskClass;
import io.marigoldsail.job.TaskState;
import io.marigoldsail.testlib.platform.WorkerFaults;
import io.marigoldsail.testlib.platform.WorkerRun;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of urgent tasks in a fleet that batch tasks fill for a minute. */
class UrgentWorkTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);
  private static final long URGENT_START_MILLIS = 2_900;

  private static TaskTestCluster fullCluster(long seed, int entries) {
    TaskTestCluster cluster = new TaskTestCluster(seed, entries, 2, CAPACITY_FOR_FOUR);
    cluster.submit(TaskTestCluster.job("payout", 8, 60_000));
    cluster.run(5_000);
    assertEquals(8, cluster.jobState("payout").claimed());
    return cluster;
  }

  private static void submitUrgent(TaskTestCluster cluster) {
    cluster.submit(
        new JobSpec(
            "now",
            "team",
            TaskClass.BATCH,
            1,
            new Sizes(1_000, 1_000, 0),
            "work=2000",
            2_000,
            true,
            0,
            true,
            1_000,
            Spread.NONE));
  }

  private static long evictions(TaskTestCluster cluster) {
    return cluster.tasks("payout").stream().mapToInt(TaskState::evictions).sum();
  }

  /** Asserts that all tasks complete, and that one was evicted and resumed from its checkpoint. */
  private static void assertOneEvictedAndResumed(TaskTestCluster cluster) {
    assertTrue(cluster.runUntilEnded(400_000), () -> "not ended: " + cluster.tasks("payout"));
    assertEquals(8, cluster.jobState("payout").done());
    assertEquals(1, cluster.jobState("now").done());
    assertEquals(1, evictions(cluster));
    List<WorkerRun> resumed = cluster.runs().stream().filter(run -> run.attempt() > 1).toList();
    assertEquals(1, resumed.size());
    assertFalse(resumed.get(0).checkpoint().isEmpty());
    assertEquals(List.of(), cluster.violations());
    assertEquals(0, cluster.askedOverCapacity());
  }

  /**
   * An urgent job is submitted while batch tasks fill every VM. One batch task must be evicted for
   * it; otherwise it waits until a batch task ends.
   */
  @Test
  void anUrgentTaskStartsInAFullFleet() {
    TaskTestCluster cluster = fullCluster(1, 3);
    submitUrgent(cluster);
    cluster.run(URGENT_START_MILLIS);

    assertTrue(cluster.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertOneEvictedAndResumed(cluster);
  }

  /**
   * The entry that wrote a preemption dies before its stops reach the victim. The next entry must
   * carry out the preemption in the log and evict no further task.
   */
  @Test
  void aPreemptionSurvivesTheEntryThatWroteIt() {
    TaskTestCluster cluster = fullCluster(2, 1);
    cluster.cut("entry-1>vm-1");
    cluster.cut("entry-1>vm-2");
    submitUrgent(cluster);
    cluster.run(1_000);
    cluster.killEntry("entry-1");
    assertEquals(1, cluster.log().referenceTable().preemptions().size());
    assertEquals(0, evictions(cluster));
    cluster.startEntry("entry-2");
    cluster.run(8_000);

    assertTrue(cluster.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertOneEvictedAndResumed(cluster);
  }

  /**
   * The entry dies after the victim was evicted and before it claims the freed capacity. Waiting
   * batch tasks must not take it; the next entry claims it for the urgent task.
   */
  @Test
  void freedCapacityIsReservedForTheUrgentTask() {
    TaskTestCluster cluster = fullCluster(3, 1);
    cluster.submit(TaskTestCluster.job("more", 4, 60_000));
    submitUrgent(cluster);
    while (evictions(cluster) == 0) {
      cluster.run(TaskTestCluster.STEP_MILLIS);
    }
    cluster.killEntry("entry-1");
    assertEquals(0, cluster.jobState("now").claimed());
    cluster.startEntry("entry-2");
    cluster.startEntry("entry-3");
    cluster.run(8_000);

    assertTrue(cluster.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertEquals(1, evictions(cluster));
    assertEquals(0, cluster.runs().stream().filter(r -> r.task().startsWith("more")).count());
  }

  /** Responses to appends, checkpoints and stops are lost during a preemption. */
  @Test
  void lostResponsesEvictNoFurtherTask() {
    TaskTestCluster cluster = fullCluster(4, 2);
    cluster.log().loseNextResponses(2);
    cluster.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    cluster.vm(2).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    submitUrgent(cluster);

    assertOneEvictedAndResumed(cluster);
  }
}
