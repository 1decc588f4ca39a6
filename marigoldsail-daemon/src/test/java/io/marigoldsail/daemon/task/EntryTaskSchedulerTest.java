package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import java.util.List;
import org.junit.jupiter.api.Test;

class EntryTaskSchedulerTest {
  private static final Sizes CAPACITY_FOR_FOUR = new Sizes(4_000, 100_000, 0);

  private static void assertNoViolations(TaskTestCluster world) {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.askedOverCapacity());
  }

  @Test
  void completesAJobOnThreeVmsWithTwoEntries() {
    TaskTestCluster world = new TaskTestCluster(1, 2, 3, CAPACITY_FOR_FOUR);
    world.submit(TaskTestCluster.job("payout", 20, 2_000));

    assertTrue(world.runUntilEnded(30_000));

    JobState job = world.jobState("payout");
    assertEquals(20, job.done());
    assertEquals(20, world.runs().size());
    assertNoViolations(world);
  }
}
