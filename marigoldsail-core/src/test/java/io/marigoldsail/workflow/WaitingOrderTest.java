package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class WaitingOrderTest {
  private static final long WORK_MILLIS = 1_000;

  private static Workflow workflow(long id, int priority, long accepted) {
    return Workflow.of(
        WorkflowFixtures.spec(
            WorkflowFixtures.id(id),
            priority,
            accepted,
            WorkflowSpec.Schedule.IMMEDIATE,
            WorkflowFixtures.step(1, 1, StepSpec.TaskTraits.PLAIN)));
  }

  private static List<Long> sorted(long wall, Workflow... workflows) {
    return java.util.Arrays.stream(workflows)
        .sorted(Comparator.comparing(workflow -> WaitingOrder.rank(workflow, wall)))
        .map(workflow -> Long.parseLong(workflow.spec().id().toString()))
        .toList();
  }

  @Test
  void ordersByPriorityThenByAcceptance() {
    assertEquals(
        List.of(3L, 2L, 1L),
        sorted(30, workflow(1, 2, 10), workflow(2, 0, 30), workflow(3, 0, 20)));
  }

  /** 2 x 1 s of work and 1 s are allowed: a start after 2 s is late, one after 8 s is of no use. */
  @Test
  void ordersByTimeliness() {
    Workflow expired = workflow(1, 0, 0);
    Workflow late = workflow(2, 0, 5_000);
    Workflow inTime = workflow(3, 0, 9_000);
    assertEquals(List.of(3L, 2L, 1L), sorted(10_000, expired, late, inTime));
    assertEquals(WaitingOrder.Timeliness.LATE, WaitingOrder.rank(expired, 8_000).timeliness());
    assertEquals(WaitingOrder.Timeliness.EXPIRED, WaitingOrder.rank(expired, 8_001).timeliness());
  }

  /**
   * For ten seconds 2.6 times as much work arrives as there is capacity for, then as much as fits.
   * Most of the capacity must go to workflows that are in time. Guards against the order of
   * arrival, in which everything after the first seconds is late.
   */
  @Test
  void aBurstDelaysOnlyPartOfTheWork() {
    int byTimeliness = servedInTime(true);
    int byArrival = servedInTime(false);
    assertEquals(true, byTimeliness >= 3 * byArrival, byTimeliness + " / " + byArrival);
    assertEquals(true, byTimeliness >= 250, "in time: " + byTimeliness);
  }

  /** Simulates ten slots that each run one workflow per second, for 40 s. */
  private static int servedInTime(boolean ranked) {
    List<Workflow> waiting = new ArrayList<>();
    int inTime = 0;
    long id = 0;
    for (int second = 0; second < 40; second++) {
      long wall = second * WORK_MILLIS;
      for (int i = 0; i < (second < 10 ? 26 : 10); i++) {
        waiting.add(workflow(++id, 0, wall));
      }
      waiting.sort(
          ranked
              ? Comparator.comparing(workflow -> WaitingOrder.rank(workflow, wall))
              : Comparator.comparingLong(workflow -> workflow.spec().acceptedMillis()));
      List<Workflow> served = waiting.subList(0, Math.min(10, waiting.size()));
      inTime +=
          (int)
              served.stream()
                  .filter(each -> wall + WORK_MILLIS - each.spec().acceptedMillis() <= 3_000)
                  .count();
      served.clear();
    }
    return inTime;
  }

  /** 2 x 1 s of work and 1 s are allowed: throttled, the workflow takes 3 s. */
  @Test
  void urgencyChangesWithWaitingTime() {
    Workflow workflow = workflow(1, 0, 0);
    assertEquals(Urgency.ORDINARY, WaitingOrder.rank(workflow, 0).urgency());
    assertEquals(Urgency.HURRIED, WaitingOrder.rank(workflow, 1).urgency());
    long starvedMillis = WaitingOrder.STARVATION_MILLIS;
    assertEquals(Urgency.HURRIED, WaitingOrder.rank(workflow, starvedMillis - 1).urgency());
    assertEquals(Urgency.STARVED, WaitingOrder.rank(workflow, starvedMillis).urgency());
    workflow.startAttempt(workflow.tasks().get(0), WorkflowFixtures.PLACE);
    assertEquals(Urgency.HURRIED, WaitingOrder.rank(workflow, 2_000).urgency());
    assertEquals(Urgency.ORDINARY, WaitingOrder.rank(workflow, 2_001).urgency());
  }

  @Test
  void idleOccurrencesStarve() {
    Workflow recurring =
        Workflow.of(
            WorkflowFixtures.spec(
                WorkflowFixtures.id(1),
                0,
                0,
                new WorkflowSpec.Schedule(2, 0, 10_000),
                WorkflowFixtures.step(1, 1_800, WorkflowFixtures.bestEffort())));
    assertEquals(Urgency.ORDINARY, WaitingOrder.rank(recurring, 100).urgency());
    long starvedMillis = WaitingOrder.STARVATION_MILLIS;
    assertEquals(Urgency.STARVED, WaitingOrder.rank(recurring, starvedMillis).urgency());
  }

  /**
   * Two heavy workflows wait, one of them with little work left. Guards against giving the first
   * step of the earlier one the capacity, which made both late.
   */
  @Test
  void nearlyDoneWorkflowsGoFirst() {
    Workflow first = heavy(1, 0);
    Workflow started = heavy(2, 1_000);
    for (int step = 0; step < 2; step++) {
      for (WorkflowTask task : started.tasksOf(0, step)) {
        started.recordEnd(
            started.startAttempt(task, WorkflowFixtures.PLACE), RunOutcome.DONE, "", 1_000);
      }
    }
    assertEquals(List.of(2L, 1L), sorted(1_000, first, started));
    // Late, with a third of the work left: less value per work than one that can still be in time.
    assertEquals(List.of(3L, 2L), sorted(12_000, started, heavy(3, 11_000)));
  }

  private static Workflow heavy(long id, long accepted) {
    return Workflow.of(
        WorkflowFixtures.spec(
            WorkflowFixtures.id(id),
            0,
            accepted,
            WorkflowSpec.Schedule.IMMEDIATE,
            WorkflowFixtures.step(4, 1_800, WorkflowFixtures.bestEffort()),
            WorkflowFixtures.step(4, 1_800, WorkflowFixtures.bestEffort(), 0),
            WorkflowFixtures.step(4, 1_800, WorkflowFixtures.bestEffort(), 1)));
  }
}
