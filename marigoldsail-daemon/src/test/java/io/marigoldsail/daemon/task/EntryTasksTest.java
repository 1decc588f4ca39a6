package io.marigoldsail.daemon.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.job.JobState;
import io.marigoldsail.job.Sizes;
import java.util.List;
import org.junit.jupiter.api.Test;

class EntryTasksTest {
  private static final Sizes ROOM_FOR_FOUR = new Sizes(4_000, 100_000, 0);

  private static void assertSound(TaskWorld world) {
    assertEquals(List.of(), world.violations());
    assertEquals(0, world.askedOverCapacity());
  }

  @Test
  void aJobOfTwentyTasksEndsOverThreeVmsAndTwoEntries() {
    TaskWorld world = new TaskWorld(1, 2, 3, ROOM_FOR_FOUR);
    world.submit(TaskWorld.job("payout", 20, 2_000));

    assertTrue(world.runUntilEnded(30_000));

    JobState job = world.jobState("payout");
    assertEquals(20, job.done());
    assertEquals(20, world.runs().size());
    assertSound(world);
  }
}
