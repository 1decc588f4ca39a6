package io.marigoldsail.workflow;

import static io.marigoldsail.workflow.AbsenceWatch.ABSENT_NANOS;
import static io.marigoldsail.workflow.AbsenceWatch.MOST_PER_LOOK;
import static io.marigoldsail.workflow.AbsenceWatch.REPEAT_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.AbsenceWatch.Look;
import io.marigoldsail.workflow.AbsenceWatch.Return;
import io.marigoldsail.workflow.AbsenceWatch.Sight;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AbsenceWatchTest {
  private static final long SECOND = 1_000_000_000L;

  private final AbsenceWatch watch = new AbsenceWatch();

  private static List<WorkflowTask> tasks(int count) {
    return Workflow.of(Workflows.spec(Workflows.step(count, 500, Workflows.lasting(25)))).tasks();
  }

  private static Sight seen(WorkflowTask task, long at) {
    return new Sight(task, OptionalLong.of(at), OptionalLong.of(at));
  }

  /** Named by a report, such as one of a VM whose worker answers nothing. */
  private static Sight named(WorkflowTask task, long at) {
    return new Sight(task, OptionalLong.empty(), OptionalLong.of(at));
  }

  private static Sight unseen(WorkflowTask task) {
    return new Sight(task, OptionalLong.empty(), OptionalLong.empty());
  }

  @Test
  void aTaskThatReportsShowIsNeverTold() {
    WorkflowTask task = tasks(1).get(0);
    for (long now = 0; now < 60 * SECOND; now += SECOND) {
      Look look = watch.look(List.of(seen(task, now - SECOND / 2)), now);
      assertEquals(0, look.away());
      assertTrue(look.absences().isEmpty() && look.returns().isEmpty());
    }
  }

  /** A start that takes its time, or a side process that restarts, is nothing to tell of. */
  @Test
  void nothingIsToldBeforeTheBound() {
    WorkflowTask task = tasks(1).get(0);
    assertTrue(watch.look(List.of(unseen(task)), 0).absences().isEmpty());
    assertEquals(0, watch.look(List.of(unseen(task)), ABSENT_NANOS - 1).away());
    Look look = watch.look(List.of(unseen(task)), ABSENT_NANOS);
    assertEquals(1, look.away());
    assertEquals(0, look.absences().get(0).since());
    assertFalse(look.absences().get(0).seenBefore());
  }

  /**
   * The side process goes on naming a run whose worker is dead, and the attempt stays open. The
   * task is away all the same, and since when it was last seen.
   */
  @Test
  void aRunThatIsNamedButNotSeenAtWorkIsAway() {
    WorkflowTask task = tasks(1).get(0);
    watch.look(List.of(seen(task, 10 * SECOND)), 10 * SECOND);
    for (long now = 11 * SECOND; now < 13 * SECOND; now += SECOND) {
      assertEquals(0, watch.look(List.of(named(task, now)), now).away());
    }
    Look look = watch.look(List.of(named(task, 13 * SECOND)), 13 * SECOND);
    AbsenceWatch.Absence absence = look.absences().get(0);
    assertTrue(absence.seenBefore());
    assertEquals(10 * SECOND, absence.since());
    assertEquals(OptionalLong.of(13 * SECOND), absence.namedAt());
  }

  /** A VM that is cut off leaves its last report behind; that report only grows older. */
  @Test
  void anOldReportIsNoNewSight() {
    WorkflowTask task = tasks(1).get(0);
    watch.look(List.of(seen(task, SECOND)), SECOND);
    Look look = watch.look(List.of(seen(task, SECOND)), SECOND + ABSENT_NANOS);
    assertEquals(1, look.away());
    assertEquals(SECOND, look.absences().get(0).since());
  }

  @Test
  void aTaskIsToldOncePerSpacingAndOnceWhenItIsBack() {
    WorkflowTask task = tasks(1).get(0);
    watch.look(List.of(unseen(task)), 0);
    int told = 0;
    for (long now = SECOND; now <= 44 * SECOND; now += SECOND) {
      told += watch.look(List.of(unseen(task)), now).absences().size();
    }
    // At 3 s, and then each 5 s up to 43 s.
    assertEquals(1 + (44 * SECOND - ABSENT_NANOS) / REPEAT_NANOS, told);
    Look back = watch.look(List.of(seen(task, 45 * SECOND)), 45 * SECOND);
    assertEquals(List.of(new Return(task, 45 * SECOND)), back.returns());
    assertEquals(0, back.away());
    Look after = watch.look(List.of(seen(task, 46 * SECOND)), 46 * SECOND);
    assertTrue(after.returns().isEmpty());
  }

  /** Away again soon after it was back, it is told at once: the spacing is that of one absence. */
  @Test
  void theNextAbsenceIsToldAtItsOwnBound() {
    WorkflowTask task = tasks(1).get(0);
    watch.look(List.of(unseen(task)), 0);
    assertEquals(1, watch.look(List.of(unseen(task)), ABSENT_NANOS).absences().size());
    long back = ABSENT_NANOS + SECOND;
    watch.look(List.of(seen(task, back)), back);
    assertEquals(1, watch.look(List.of(unseen(task)), back + ABSENT_NANOS).absences().size());
  }

  /** All of a fleet is away: lines stay few, and each task gets its turn within the spacing. */
  @Test
  void manyTasksAreToldInTurnAndTheRestCounted() {
    List<Sight> all = tasks(18).stream().map(AbsenceWatchTest::unseen).toList();
    watch.look(all, 0);
    Map<TaskKey, Integer> told = new HashMap<>();
    for (int turn = 0; turn < 5; turn++) {
      Look look = watch.look(all, ABSENT_NANOS + turn * SECOND);
      assertEquals(18, look.lasting());
      assertEquals(18, look.away());
      assertTrue(look.absences().size() <= MOST_PER_LOOK);
      assertEquals(Math.max(0, 18 - (turn + 1) * MOST_PER_LOOK), look.absencesLeftOut());
      look.absences().forEach(each -> told.merge(each.task().key(), 1, Integer::sum));
    }
    assertEquals(18, told.size());
    assertTrue(told.values().stream().allMatch(times -> times == 1));
    long later = ABSENT_NANOS + 6 * SECOND;
    List<Sight> again = all.stream().map(each -> seen(each.task(), later)).toList();
    Look back = watch.look(again, later);
    assertEquals(MOST_PER_LOOK, back.returns().size());
    assertEquals(18 - MOST_PER_LOOK, back.returnsLeftOut());
  }

  /** A workflow was cancelled, or its partition went to another owner and came back. */
  @Test
  void whatIsNotLookedForAnyMoreIsForgotten() {
    WorkflowTask task = tasks(1).get(0);
    watch.look(List.of(unseen(task)), 0);
    watch.look(List.of(), SECOND);
    assertEquals(0, watch.look(List.of(unseen(task)), 10 * SECOND).away());
    assertEquals(
        10 * SECOND, watch.look(List.of(unseen(task)), 13 * SECOND).absences().get(0).since());
  }
}
