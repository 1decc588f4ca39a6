package io.marigoldsail.workflow;

import static io.marigoldsail.workflow.AbsenceDetector.ABSENT_NANOS;
import static io.marigoldsail.workflow.AbsenceDetector.MAX_PER_CHECK;
import static io.marigoldsail.workflow.AbsenceDetector.REPEAT_NANOS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.marigoldsail.workflow.AbsenceDetector.CheckResult;
import io.marigoldsail.workflow.AbsenceDetector.Observation;
import io.marigoldsail.workflow.AbsenceDetector.Recovery;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class AbsenceDetectorTest {
  private static final long SECOND = 1_000_000_000L;

  private final AbsenceDetector watch = new AbsenceDetector();

  private static List<WorkflowTask> tasks(int count) {
    return Workflow.of(
            WorkflowFixtures.spec(
                WorkflowFixtures.step(count, 500, WorkflowFixtures.longRunning(25))))
        .tasks();
  }

  private static Observation seen(WorkflowTask task, long at) {
    return new Observation(task, OptionalLong.of(at), OptionalLong.of(at));
  }

  /** Named by a report, such as one of a VM whose worker answers nothing. */
  private static Observation named(WorkflowTask task, long at) {
    return new Observation(task, OptionalLong.empty(), OptionalLong.of(at));
  }

  private static Observation unseen(WorkflowTask task) {
    return new Observation(task, OptionalLong.empty(), OptionalLong.empty());
  }

  @Test
  void aRunningTaskIsNeverReported() {
    WorkflowTask task = tasks(1).get(0);
    for (long now = 0; now < 60 * SECOND; now += SECOND) {
      CheckResult look = watch.check(List.of(seen(task, now - SECOND / 2)), now);
      assertEquals(0, look.absent());
      assertTrue(look.absences().isEmpty() && look.recoveries().isEmpty());
    }
  }

  /** A start that takes its time, or a side process that restarts, is nothing to tell of. */
  @Test
  void nothingIsReportedBeforeTheThreshold() {
    WorkflowTask task = tasks(1).get(0);
    assertTrue(watch.check(List.of(unseen(task)), 0).absences().isEmpty());
    assertEquals(0, watch.check(List.of(unseen(task)), ABSENT_NANOS - 1).absent());
    CheckResult look = watch.check(List.of(unseen(task)), ABSENT_NANOS);
    assertEquals(1, look.absent());
    assertEquals(0, look.absences().get(0).since());
    assertFalse(look.absences().get(0).seenBefore());
  }

  /**
   * The side process goes on naming a run whose worker is dead, and the attempt stays open. The
   * task is away all the same, and since when it was last seen.
   */
  @Test
  void aRunThatIsNamedButNotRunningIsAbsent() {
    WorkflowTask task = tasks(1).get(0);
    watch.check(List.of(seen(task, 10 * SECOND)), 10 * SECOND);
    for (long now = 11 * SECOND; now < 13 * SECOND; now += SECOND) {
      assertEquals(0, watch.check(List.of(named(task, now)), now).absent());
    }
    CheckResult look = watch.check(List.of(named(task, 13 * SECOND)), 13 * SECOND);
    AbsenceDetector.Absence absence = look.absences().get(0);
    assertTrue(absence.seenBefore());
    assertEquals(10 * SECOND, absence.since());
    assertEquals(OptionalLong.of(13 * SECOND), absence.namedAt());
  }

  /** A VM that is cut off leaves its last report behind; that report only grows older. */
  @Test
  void anOldReportIsNoNewObservation() {
    WorkflowTask task = tasks(1).get(0);
    watch.check(List.of(seen(task, SECOND)), SECOND);
    CheckResult look = watch.check(List.of(seen(task, SECOND)), SECOND + ABSENT_NANOS);
    assertEquals(1, look.absent());
    assertEquals(SECOND, look.absences().get(0).since());
  }

  @Test
  void reportsAnAbsenceOncePerIntervalAndTheRecoveryOnce() {
    WorkflowTask task = tasks(1).get(0);
    watch.check(List.of(unseen(task)), 0);
    int told = 0;
    for (long now = SECOND; now <= 44 * SECOND; now += SECOND) {
      told += watch.check(List.of(unseen(task)), now).absences().size();
    }
    // At 3 s, and then each 5 s up to 43 s.
    assertEquals(1 + (44 * SECOND - ABSENT_NANOS) / REPEAT_NANOS, told);
    CheckResult back = watch.check(List.of(seen(task, 45 * SECOND)), 45 * SECOND);
    assertEquals(List.of(new Recovery(task, 45 * SECOND)), back.recoveries());
    assertEquals(0, back.absent());
    CheckResult after = watch.check(List.of(seen(task, 46 * SECOND)), 46 * SECOND);
    assertTrue(after.recoveries().isEmpty());
  }

  /** Away again soon after it was back, it is told at once: the spacing is that of one absence. */
  @Test
  void theNextAbsenceIsReportedAtItsOwnThreshold() {
    WorkflowTask task = tasks(1).get(0);
    watch.check(List.of(unseen(task)), 0);
    assertEquals(1, watch.check(List.of(unseen(task)), ABSENT_NANOS).absences().size());
    long back = ABSENT_NANOS + SECOND;
    watch.check(List.of(seen(task, back)), back);
    assertEquals(1, watch.check(List.of(unseen(task)), back + ABSENT_NANOS).absences().size());
  }

  /** All of a fleet is away: lines stay few, and each task gets its turn within the spacing. */
  @Test
  void manyAbsencesAreReportedInRotationAndTheRestCounted() {
    List<Observation> all = tasks(18).stream().map(AbsenceDetectorTest::unseen).toList();
    watch.check(all, 0);
    Map<TaskKey, Integer> told = new HashMap<>();
    for (int turn = 0; turn < 5; turn++) {
      CheckResult look = watch.check(all, ABSENT_NANOS + turn * SECOND);
      assertEquals(18, look.longRunning());
      assertEquals(18, look.absent());
      assertTrue(look.absences().size() <= MAX_PER_CHECK);
      assertEquals(Math.max(0, 18 - (turn + 1) * MAX_PER_CHECK), look.omittedAbsences());
      look.absences().forEach(each -> told.merge(each.task().key(), 1, Integer::sum));
    }
    assertEquals(18, told.size());
    assertTrue(told.values().stream().allMatch(times -> times == 1));
    long later = ABSENT_NANOS + 6 * SECOND;
    List<Observation> again = all.stream().map(each -> seen(each.task(), later)).toList();
    CheckResult back = watch.check(again, later);
    assertEquals(MAX_PER_CHECK, back.recoveries().size());
    assertEquals(18 - MAX_PER_CHECK, back.omittedRecoveries());
  }

  /** A workflow was cancelled, or its partition went to another owner and came back. */
  @Test
  void tasksThatAreNoLongerObservedAreDropped() {
    WorkflowTask task = tasks(1).get(0);
    watch.check(List.of(unseen(task)), 0);
    watch.check(List.of(), SECOND);
    assertEquals(0, watch.check(List.of(unseen(task)), 10 * SECOND).absent());
    assertEquals(
        10 * SECOND, watch.check(List.of(unseen(task)), 13 * SECOND).absences().get(0).since());
  }
}
