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

  private final AbsenceDetector detector = new AbsenceDetector();

  private static List<WorkflowTask> tasks(int count) {
    return Workflow.of(
            WorkflowFixtures.spec(
                WorkflowFixtures.step(count, 500, WorkflowFixtures.longRunning(25))))
        .tasks();
  }

  private static Observation seen(WorkflowTask task, long at) {
    return new Observation(task, OptionalLong.of(at), OptionalLong.of(at));
  }

  /** A task named by a report but not running, such as on a VM whose worker does not respond. */
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
      CheckResult result = detector.check(List.of(seen(task, now - SECOND / 2)), now);
      assertEquals(0, result.absent());
      assertTrue(result.absences().isEmpty() && result.recoveries().isEmpty());
    }
  }

  /** A slow start or a restart of a side process is not reported. */
  @Test
  void nothingIsReportedBeforeTheThreshold() {
    WorkflowTask task = tasks(1).get(0);
    assertTrue(detector.check(List.of(unseen(task)), 0).absences().isEmpty());
    assertEquals(0, detector.check(List.of(unseen(task)), ABSENT_NANOS - 1).absent());
    CheckResult result = detector.check(List.of(unseen(task)), ABSENT_NANOS);
    assertEquals(1, result.absent());
    assertEquals(0, result.absences().get(0).since());
    assertFalse(result.absences().get(0).seenBefore());
  }

  /**
   * The side process still names a run whose worker is dead, and the attempt stays open. The task
   * must be absent all the same, since it was last seen running.
   */
  @Test
  void aRunThatIsNamedButNotRunningIsAbsent() {
    WorkflowTask task = tasks(1).get(0);
    detector.check(List.of(seen(task, 10 * SECOND)), 10 * SECOND);
    for (long now = 11 * SECOND; now < 13 * SECOND; now += SECOND) {
      assertEquals(0, detector.check(List.of(named(task, now)), now).absent());
    }
    CheckResult result = detector.check(List.of(named(task, 13 * SECOND)), 13 * SECOND);
    AbsenceDetector.Absence absence = result.absences().get(0);
    assertTrue(absence.seenBefore());
    assertEquals(10 * SECOND, absence.since());
    assertEquals(OptionalLong.of(13 * SECOND), absence.namedAt());
  }

  /** A VM that is cut off leaves its last report behind, which only grows older. */
  @Test
  void anOldReportIsNoNewObservation() {
    WorkflowTask task = tasks(1).get(0);
    detector.check(List.of(seen(task, SECOND)), SECOND);
    CheckResult result = detector.check(List.of(seen(task, SECOND)), SECOND + ABSENT_NANOS);
    assertEquals(1, result.absent());
    assertEquals(SECOND, result.absences().get(0).since());
  }

  @Test
  void reportsAnAbsenceOncePerIntervalAndTheRecoveryOnce() {
    WorkflowTask task = tasks(1).get(0);
    detector.check(List.of(unseen(task)), 0);
    int reported = 0;
    for (long now = SECOND; now <= 44 * SECOND; now += SECOND) {
      reported += detector.check(List.of(unseen(task)), now).absences().size();
    }
    // At 3 s, and then every 5 s until 43 s.
    assertEquals(1 + (44 * SECOND - ABSENT_NANOS) / REPEAT_NANOS, reported);
    CheckResult back = detector.check(List.of(seen(task, 45 * SECOND)), 45 * SECOND);
    assertEquals(List.of(new Recovery(task, 45 * SECOND)), back.recoveries());
    assertEquals(0, back.absent());
    CheckResult after = detector.check(List.of(seen(task, 46 * SECOND)), 46 * SECOND);
    assertTrue(after.recoveries().isEmpty());
  }

  /**
   * A new absence soon after a recovery is reported at its own threshold; the interval applies
   * within one absence.
   */
  @Test
  void theNextAbsenceIsReportedAtItsOwnThreshold() {
    WorkflowTask task = tasks(1).get(0);
    detector.check(List.of(unseen(task)), 0);
    assertEquals(1, detector.check(List.of(unseen(task)), ABSENT_NANOS).absences().size());
    long back = ABSENT_NANOS + SECOND;
    detector.check(List.of(seen(task, back)), back);
    assertEquals(1, detector.check(List.of(unseen(task)), back + ABSENT_NANOS).absences().size());
  }

  /**
   * All long-running tasks of a fleet are absent: reports stay few, and each task is reported
   * within the interval.
   */
  @Test
  void manyAbsencesAreReportedInRotationAndTheRestCounted() {
    List<Observation> all = tasks(18).stream().map(AbsenceDetectorTest::unseen).toList();
    detector.check(all, 0);
    Map<TaskKey, Integer> reported = new HashMap<>();
    for (int round = 0; round < 5; round++) {
      CheckResult result = detector.check(all, ABSENT_NANOS + round * SECOND);
      assertEquals(18, result.longRunning());
      assertEquals(18, result.absent());
      assertTrue(result.absences().size() <= MAX_PER_CHECK);
      assertEquals(Math.max(0, 18 - (round + 1) * MAX_PER_CHECK), result.omittedAbsences());
      result.absences().forEach(each -> reported.merge(each.task().key(), 1, Integer::sum));
    }
    assertEquals(18, reported.size());
    assertTrue(reported.values().stream().allMatch(times -> times == 1));
    long later = ABSENT_NANOS + 6 * SECOND;
    List<Observation> again = all.stream().map(each -> seen(each.task(), later)).toList();
    CheckResult back = detector.check(again, later);
    assertEquals(MAX_PER_CHECK, back.recoveries().size());
    assertEquals(18 - MAX_PER_CHECK, back.omittedRecoveries());
  }

  /** A workflow was cancelled, or its partition moved to another owner and came back. */
  @Test
  void tasksThatAreNoLongerObservedAreDropped() {
    WorkflowTask task = tasks(1).get(0);
    detector.check(List.of(unseen(task)), 0);
    detector.check(List.of(), SECOND);
    assertEquals(0, detector.check(List.of(unseen(task)), 10 * SECOND).absent());
    assertEquals(
        10 * SECOND, detector.check(List.of(unseen(task)), 13 * SECOND).absences().get(0).since());
  }
}
