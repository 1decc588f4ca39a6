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

/** Urgent work comes into a fleet that batch work fills for a minute. */
class UrgentWorkTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);
  private static final long URGENT_START_MILLIS = 2_900;

  private static TaskTestCluster fullCluster(long seed, int entries) {
    TaskTestCluster world = new TaskTestCluster(seed, entries, 2, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 8, 60_000));
    world.run(5_000);
    assertEquals(8, world.jobState("payout").claimed());
    return world;
  }

  private static void submitUrgent(TaskTestCluster world) {
    world.submit(
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

  private static long evictions(TaskTestCluster world) {
    return world.tasks("payout").stream().mapToInt(TaskState::evictions).sum();
  }

  /** All is done in the end; one task went for the urgent one and resumed where it had been. */
  private static void assertOneEvictedAndResumed(TaskTestCluster world) {
    assertTrue(world.runUntilEnded(400_000), () -> "not ended: " + world.tasks("payout"));
    assertEquals(8, world.jobState("payout").done());
    assertEquals(1, world.jobState("now").done());
    assertEquals(1, evictions(world));
    List<WorkerRun> resumed = world.runs().stream().filter(run -> run.attempt() > 1).toList();
    assertEquals(1, resumed.size());
    assertFalse(resumed.get(0).checkpoint().isEmpty());
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.askedOverCapacity());
  }

  /**
   * An operator submits an urgent job while batch work fills every VM. It waited until something
   * ended; now one task of the batch work goes for it.
   */
  @Test
  void anUrgentTaskStartsInAFullFleet() {
    TaskTestCluster world = fullCluster(1, 3);
    submitUrgent(world);
    world.run(URGENT_START_MILLIS);

    assertTrue(world.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertOneEvictedAndResumed(world);
  }

  /**
   * The entry that wrote who goes dies before it could have them stopped. The next entry carries it
   * on from the log and evicts nobody else.
   */
  @Test
  void aPreemptionSurvivesTheEntryThatWroteIt() {
    TaskTestCluster world = fullCluster(2, 1);
    world.cut("entry-1>vm-1");
    world.cut("entry-1>vm-2");
    submitUrgent(world);
    world.run(1_000);
    world.killEntry("entry-1");
    assertEquals(1, world.log().referenceTable().preemptions().size());
    assertEquals(0, evictions(world));
    world.startEntry("entry-2");
    world.run(8_000);

    assertTrue(world.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertOneEvictedAndResumed(world);
  }

  /**
   * The entry dies after the victim has left, before it claims the room. Waiting batch work must
   * not take it; the next entry claims it for the urgent task.
   */
  @Test
  void freedCapacityIsReservedForTheUrgentTask() {
    TaskTestCluster world = fullCluster(3, 1);
    world.submit(TaskTestCluster.job("more", 4, 60_000));
    submitUrgent(world);
    while (evictions(world) == 0) {
      world.run(TaskTestCluster.STEP_MILLIS);
    }
    world.killEntry("entry-1");
    assertEquals(0, world.jobState("now").claimed());
    world.startEntry("entry-2");
    world.startEntry("entry-3");
    world.run(8_000);

    assertTrue(world.runs().stream().anyMatch(run -> run.task().equals("now/0")));
    assertEquals(1, evictions(world));
    assertEquals(0, world.runs().stream().filter(r -> r.task().startsWith("more")).count());
  }

  /** The answers to the log's appends, to checkpoints and to stops are lost meanwhile. */
  @Test
  void lostResponsesEvictNoFurtherTask() {
    TaskTestCluster world = fullCluster(4, 2);
    world.log().loseNextResponses(2);
    world.vm(1).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    world.vm(2).worker().setFaults(WorkerFaults.none().withLoseAnswers(60));
    submitUrgent(world);

    assertOneEvictedAndResumed(world);
  }
}
