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

  private final AbsenceWatch detector = new AbsenceWatch();

  private static List<WorkflowTask> tasks(int count) {
    return Workflow.of(Workflows.spec(Workflows.step(count, 500, Workflows.lasting(25)))).tasks();
  }

  private static Sight seen(WorkflowTask task, long at) {
    return new Sight(task, OptionalLong.of(at), OptionalLong.of(at));
  }

  /** A task named by a report but not running, such as on a VM whose worker does not respond. */
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
      Look look = detector.look(List.of(seen(task, now - SECOND / 2)), now);
      assertEquals(0, look.away());
      assertTrue(look.absences().isEmpty() && look.returns().isEmpty());
    }
  }

  /** A slow start or a restart of a side process is not reported. */
  @Test
  void nothingIsToldBeforeTheBound() {
    WorkflowTask task = tasks(1).get(0);
    assertTrue(detector.look(List.of(unseen(task)), 0).absences().isEmpty());
    assertEquals(0, detector.look(List.of(unseen(task)), ABSENT_NANOS - 1).away());
    Look look = detector.look(List.of(unseen(task)), ABSENT_NANOS);
    assertEquals(1, look.away());
    assertEquals(0, look.absences().get(0).since());
    assertFalse(look.absences().get(0).seenBefore());
  }

  /** The side process still names a run whose worker is dead, and the attempt stays open. The task must be absent all the same, since it was last seen running. */
  @Test
  void aRunThatIsNamedButNotSeenAtWorkIsAway() {
    WorkflowTask task = tasks(1).get(0);
    detector.look(List.of(seen(task, 10 * SECOND)), 10 * SECOND);
    for (long now = 11 * SECOND; now < 13 * SECOND; now += SECOND) {
      assertEquals(0, detector.look(List.of(named(task, now)), now).away());
    }
    Look look = detector.look(List.of(named(task, 13 * SECOND)), 13 * SECOND);
    AbsenceWatch.Absence absence = look.absences().get(0);
    assertTrue(absence.seenBefore());
    assertEquals(10 * SECOND, absence.since());
    assertEquals(OptionalLong.of(13 * SECOND), absence.namedAt());
  }

  /** A VM that is cut off leaves its last report behind, which only grows older. */
  @Test
  void anOldReportIsNoNewSight() {
    WorkflowTask task = tasks(1).get(0);
    detector.look(List.of(seen(task, SECOND)), SECOND);
    Look look = detector.look(List.of(seen(task, SECOND)), SECOND + ABSENT_NANOS);
    assertEquals(1, look.away());
    assertEquals(SECOND, look.absences().get(0).since());
  }

  @Test
  void aTaskIsToldOncePerSpacingAndOnceWhenItIsBack() {
    WorkflowTask task = tasks(1).get(0);
    detector.look(List.of(unseen(task)), 0);
    int reported = 0;
    for (long now = SECOND; now <= 44 * SECOND; now += SECOND) {
      reported += detector.look(List.of(unseen(task)), now).absences().size();
    }
    // At 3 s, and then every 5 s until 43 s.
    assertEquals(1 + (44 * SECOND - ABSENT_NANOS) / REPEAT_NANOS, reported);
    Look back = detector.look(List.of(seen(task, 45 * SECOND)), 45 * SECOND);
    assertEquals(List.of(new Return(task, 45 * SECOND)), back.returns());
    assertEquals(0, back.away());
    Look after = detector.look(List.of(seen(task, 46 * SECOND)), 46 * SECOND);
    assertTrue(after.returns().isEmpty());
  }

  /** A new absence soon after a recovery is reported at its own threshold; the interval applies within one absence. */
  @Test
  void theNextAbsenceIsToldAtItsOwnBound() {
    WorkflowTask task = tasks(1).get(0);
    detector.look(List.of(unseen(task)), 0);
    assertEquals(1, detector.look(List.of(unseen(task)), ABSENT_NANOS).absences().size());
    long back = ABSENT_NANOS + SECOND;
    detector.look(List.of(seen(task, back)), back);
    assertEquals(1, detector.look(List.of(unseen(task)), back + ABSENT_NANOS).absences().size());
  }

  /** All long-running tasks of a fleet are absent: reports stay few, and each task is reported within the interval. */
  @Test
  void manyTasksAreToldInTurnAndTheRestCounted() {
    List<Sight> all = tasks(18).stream().map(AbsenceWatchTest::unseen).toList();
    detector.look(all, 0);
    Map<TaskKey, Integer> reported = new HashMap<>();
    for (int round = 0; round < 5; round++) {
      Look look = detector.look(all, ABSENT_NANOS + round * SECOND);
      assertEquals(18, look.lasting());
      assertEquals(18, look.away());
      assertTrue(look.absences().size() <= MOST_PER_LOOK);
      assertEquals(Math.max(0, 18 - (round + 1) * MOST_PER_LOOK), look.absencesLeftOut());
      look.absences().forEach(each -> reported.merge(each.task().key(), 1, Integer::sum));
    }
    assertEquals(18, reported.size());
    assertTrue(reported.values().stream().allMatch(times -> times == 1));
    long later = ABSENT_NANOS + 6 * SECOND;
    List<Sight> again = all.stream().map(each -> seen(each.task(), later)).toList();
    Look back = detector.look(again, later);
    assertEquals(MOST_PER_LOOK, back.returns().size());
    assertEquals(18 - MOST_PER_LOOK, back.returnsLeftOut());
  }

  /** A workflow was cancelled, or its partition moved to another owner and came back. */
  @Test
  void whatIsNotLookedForAnyMoreIsForgotten() {
    WorkflowTask task = tasks(1).get(0);
    detector.look(List.of(unseen(task)), 0);
    detector.look(List.of(), SECOND);
    assertEquals(0, detector.look(List.of(unseen(task)), 10 * SECOND).away());
    assertEquals(
        10 * SECOND, detector.look(List.of(unseen(task)), 13 * SECOND).absences().get(0).since());
  }
}
