package io.marigoldsail.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class JobQueueTest {
  private static final Sizes FLEET = new Sizes(100_000, 100_000, 10);
  private static final Sizes ONE = new Sizes(1_000, 1_000, 0);

  private final List<JobState> jobs = new ArrayList<>();
  private final Map<String, Sizes> booked = new HashMap<>();
  private final Map<String, TeamQuota> quotas = new HashMap<>();

  private void add(String name, String team, int count, boolean urgent, long acceptedMillis) {
    JobSpec spec =
        new JobSpec(
            name, team, TaskClass.BATCH, count, ONE, "x", 1, urgent, 0, true, 0, Spread.NONE);
    jobs.add(new JobState(spec, jobs.size(), acceptedMillis, "", count, 0, 0, 0, 0));
  }

  private JobQueue queueAt(long nowMillis) {
    return new JobQueue(
        jobs, booked, team -> quotas.getOrDefault(team, TeamQuota.DEFAULT), FLEET, nowMillis);
  }

  /** Gives room to so many tasks in turn and returns how many each job got. */
  private Map<String, Integer> allocate(JobQueue order, int tasks) {
    Map<String, Integer> served = new HashMap<>();
    for (int i = 0; i < tasks; i++) {
      Optional<JobState> next = order.next();
      if (next.isEmpty()) {
        break;
      }
      String name = next.get().spec().name();
      int count = served.merge(name, 1, Integer::sum);
      order.recordAllocation(next.get(), ONE, count < next.get().waiting());
    }
    return served;
  }

  /** One team submits a thousand tasks first; another's few get half of the room, not the rest. */
  @Test
  void teamsShareEquallyRegardlessOfQueueLength() {
    add("flood", "a", 1_000, false, 0);
    add("few", "b", 100, false, 0);

    assertEquals(Map.of("flood", 10, "few", 10), allocate(queueAt(0), 20));
  }

  @Test
  void weightsDivideTheCapacity() {
    quotas.put("a", new TeamQuota(3, FLEET));
    add("heavy", "a", 1_000, false, 0);
    add("light", "b", 1_000, false, 0);

    assertEquals(Map.of("heavy", 30, "light", 10), allocate(queueAt(0), 40));
  }

  @Test
  void urgentJobsGoFirst() {
    booked.put("a", new Sizes(50_000, 0, 0));
    add("usual", "b", 10, false, 0);
    add("urgent", "a", 10, true, 0);

    assertEquals(Map.of("urgent", 10, "usual", 2), allocate(queueAt(0), 12));
  }

  /** A team calls all it has urgent, for ever; others wait for their turn, but not for ever. */
  @Test
  void agedJobsGoBeforeUrgentOnes() {
    add("old", "b", 1, false, 0);
    add("urgent", "a", 1_000, true, 3 * JobQueue.AGING_MILLIS);

    assertEquals("old", queueAt(3 * JobQueue.AGING_MILLIS).next().orElseThrow().spec().name());
  }

  @Test
  void aTeamIsLimitedByItsQuota() {
    quotas.put("a", new TeamQuota(1, new Sizes(1_500, 10_000, 0)));
    add("job", "a", 5, false, 0);
    JobQueue order = queueAt(0);
    assertEquals(true, order.withinQuota("a", ONE));
    order.recordAllocation(order.next().orElseThrow(), ONE, true);

    assertFalse(order.withinQuota("a", ONE));
  }
}
