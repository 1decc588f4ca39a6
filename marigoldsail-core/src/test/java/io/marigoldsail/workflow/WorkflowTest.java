package io.marigoldsail.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WorkflowTest {
  private static final long WALL = 5_000;

  private static List<TaskKey> ready(Workflow workflow, long wall) {
    List<TaskKey> keys = new ArrayList<>();
    workflow.forEachReady(wall, task -> keys.add(task.key()));
    return keys;
  }

  private static RunKey run(Workflow workflow, int step, int index) {
    WorkflowTask task =
        workflow.task(new TaskKey(WorkflowFixtures.ID, 0, step, index)).orElseThrow();
    return workflow.startAttempt(task, WorkflowFixtures.PLACE);
  }

  @Test
  void stepWaitsForAllTasksOfItsDependencies() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(
                WorkflowFixtures.step(2, 100, StepSpec.TaskTraits.PLAIN),
                WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN, 0)));
    assertEquals(2, ready(workflow, WALL).size());
    workflow.recordEnd(run(workflow, 0, 0), RunOutcome.DONE, "", WALL);
    assertEquals(List.of(new TaskKey(WorkflowFixtures.ID, 0, 0, 1)), ready(workflow, WALL));
    workflow.recordEnd(run(workflow, 0, 1), RunOutcome.DONE, "", WALL);
    assertEquals(List.of(new TaskKey(WorkflowFixtures.ID, 0, 1, 0)), ready(workflow, WALL));
    workflow.recordEnd(run(workflow, 1, 0), RunOutcome.DONE, "", WALL);
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertEquals(WALL, workflow.endedMillis());
  }

  @Test
  void attemptNumbersIncreaseAndEndsOfOlderAttemptsAreIgnored() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN)));
    RunKey first = run(workflow, 0, 0);
    assertTrue(workflow.recordEnd(first, RunOutcome.LOST, "", WALL));
    RunKey second = run(workflow, 0, 0);
    assertEquals(first.attempt() + 1, second.attempt());
    assertFalse(workflow.recordEnd(first, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.QUEUED, workflow.status());
    assertTrue(workflow.recordEnd(second, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.DONE, workflow.status());
  }

  private static Workflow oneTask() {
    return Workflow.of(
        WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN)));
  }

  private static boolean isSuperseded(Workflow workflow, RunKey run, RunOutcome reported) {
    return workflow.task(run.task()).orElseThrow().isSuperseded(run.attempt(), reported);
  }

  /** A task that is done must not run again because its owner heard of the end too late. */
  @Test
  void lateCompletionOfTheLastAttemptEndsTheWorkflow() {
    Workflow workflow = oneTask();
    RunKey run = run(workflow, 0, 0);
    workflow.recordEnd(run, RunOutcome.LOST, "", WALL);
    assertTrue(isSuperseded(workflow, run, RunOutcome.DONE));
    assertTrue(workflow.recordLateCompletion(run, "", WALL));
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertEquals(List.of(), ready(workflow, WALL));
    assertFalse(isSuperseded(workflow, run, RunOutcome.DONE));
    assertFalse(workflow.recordLateCompletion(run, "", WALL));
  }

  /** Two attempts would both count as the one that completed. */
  @Test
  void completionOfAnEarlierAttemptIsSuperseded() {
    Workflow workflow = oneTask();
    RunKey first = run(workflow, 0, 0);
    workflow.recordEnd(first, RunOutcome.LOST, "", WALL);
    RunKey second = run(workflow, 0, 0);
    assertFalse(workflow.recordLateCompletion(first, "", WALL));
    assertTrue(isSuperseded(workflow, first, RunOutcome.DONE));
    assertFalse(isSuperseded(workflow, second, RunOutcome.DONE), "the open attempt");
    workflow.recordEnd(second, RunOutcome.LOST, "", WALL);
    assertFalse(workflow.recordLateCompletion(first, "", WALL), "the second attempt may have run");
    assertTrue(workflow.recordLateCompletion(second, "", WALL));
    assertTrue(isSuperseded(workflow, first, RunOutcome.DONE));
    assertFalse(isSuperseded(workflow, second, RunOutcome.DONE));
  }

  /** A failure that was not counted would let the task run more often than permitted. */
  @Test
  void failureOfALostAttemptIsSuperseded() {
    Workflow workflow = oneTask();
    RunKey lost = run(workflow, 0, 0);
    workflow.recordEnd(lost, RunOutcome.LOST, "", WALL);
    RunKey failed = run(workflow, 0, 0);
    workflow.recordEnd(failed, RunOutcome.FAILED, "", WALL);
    assertTrue(isSuperseded(workflow, lost, RunOutcome.FAILED));
    assertFalse(isSuperseded(workflow, failed, RunOutcome.FAILED));
    assertFalse(isSuperseded(workflow, lost, RunOutcome.STOPPED));
  }

  /** A long-running task starts again after every end, so none of its ends is superseded. */
  @Test
  void endsOfLongRunningTasksAreNeverSuperseded() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, WorkflowFixtures.longRunning(50))));
    RunKey run = run(workflow, 0, 0);
    workflow.recordEnd(run, RunOutcome.LOST, "", WALL);
    assertFalse(workflow.recordLateCompletion(run, "", WALL));
    assertFalse(isSuperseded(workflow, run, RunOutcome.DONE));
  }

  @Test
  void aTaskMayNotHaveTwoOpenAttempts() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN)));
    run(workflow, 0, 0);
    assertTrue(ready(workflow, WALL).isEmpty());
    assertThrows(IllegalStateException.class, () -> run(workflow, 0, 0));
  }

  @Test
  void failsOnlyAfterMaxFailures() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN)));
    for (RunOutcome uncounted :
        List.of(RunOutcome.REFUSED, RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.LOST)) {
      workflow.recordEnd(run(workflow, 0, 0), uncounted, "", WALL);
    }
    workflow.recordEnd(run(workflow, 0, 0), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.RUNNING, workflow.status());
    workflow.recordEnd(run(workflow, 0, 0), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.FAILED, workflow.status());
    assertTrue(ready(workflow, WALL).isEmpty());
  }

  @Test
  void longRunningTasksRestartAfterEveryOutcome() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(1, 100, WorkflowFixtures.longRunning(50))));
    for (RunOutcome outcome : RunOutcome.values()) {
      workflow.recordEnd(run(workflow, 0, 0), outcome, "", WALL);
      assertEquals(1, ready(workflow, WALL).size(), outcome.name());
    }
  }

  @Test
  void cancelledWorkflowStartsNothingAndTracksItsOpenRuns() {
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(WorkflowFixtures.step(2, 100, StepSpec.TaskTraits.PLAIN)));
    RunKey open = run(workflow, 0, 0);
    assertTrue(workflow.cancel(WALL));
    assertFalse(workflow.cancel(WALL));
    assertTrue(ready(workflow, WALL).isEmpty());
    assertEquals(1, workflow.openTasks().size());
    assertTrue(workflow.recordEnd(open, RunOutcome.DONE, "", WALL));
    assertEquals(WorkflowStatus.CANCELLED, workflow.status());
  }

  @Test
  void occurrencesBecomeReadyAtTheirDueTimes() {
    WorkflowSpec.Schedule schedule = new WorkflowSpec.Schedule(2, 10_000, 4_000);
    Workflow workflow =
        Workflow.of(
            WorkflowFixtures.spec(
                WorkflowFixtures.ID,
                0,
                0,
                schedule,
                WorkflowFixtures.step(1, 100, StepSpec.TaskTraits.PLAIN)));
    assertTrue(ready(workflow, 9_999).isEmpty());
    assertEquals(1, ready(workflow, 10_000).size());
    assertEquals(2, ready(workflow, 14_000).size());
  }

  private static List<RunKey> startGang(Workflow workflow) {
    List<WorkflowTask> members = workflow.tasksOf(0, 0);
    workflow.startGangAttempt(
        members.get(0), Collections.nCopies(members.size(), WorkflowFixtures.PLACE));
    return members.stream().map(WorkflowTask::openRun).toList();
  }

  private static void endAll(Workflow workflow, RunOutcome outcome) {
    for (WorkflowTask open : workflow.openTasks()) {
      workflow.recordEnd(open.openRun(), outcome, "", WALL);
    }
  }

  @Test
  void gangMembersShareAttemptCheckpointAndCompletion() {
    Workflow workflow = Workflow.of(WorkflowFixtures.spec(WorkflowFixtures.gang(3, 100, false)));
    List<RunKey> first = startGang(workflow);
    workflow.task(first.get(1).task()).orElseThrow().recordProgress("saved", 50);
    workflow.recordEnd(first.get(0), RunOutcome.STOPPED, "", WALL);
    assertTrue(ready(workflow, WALL).isEmpty(), "the others may still run");
    assertTrue(workflow.openTasks().stream().allMatch(WorkflowTask::isStopRequested));
    endAll(workflow, RunOutcome.STOPPED);
    assertEquals(3, ready(workflow, WALL).size());
    List<RunKey> second = startGang(workflow);
    assertTrue(second.stream().allMatch(run -> run.attempt() == 2));
    assertTrue(workflow.tasks().stream().allMatch(task -> task.checkpoint().equals("saved")));
    workflow.recordEnd(second.get(2), RunOutcome.DONE, "", WALL);
    assertEquals(WorkflowStatus.DONE, workflow.status());
    assertTrue(workflow.openTasks().isEmpty());
  }

  /**
   * Two members of a gang failed in one attempt. Guards against counting both, which failed the
   * workflow after its first attempt although two were allowed.
   */
  @Test
  void anAttemptOfAGangFailsOnce() {
    Workflow workflow = Workflow.of(WorkflowFixtures.spec(WorkflowFixtures.gang(3, 100, false)));
    List<RunKey> first = startGang(workflow);
    workflow.recordEnd(first.get(0), RunOutcome.FAILED, "", WALL);
    workflow.recordEnd(first.get(1), RunOutcome.FAILED, "", WALL);
    workflow.recordEnd(first.get(2), RunOutcome.BROKEN, "", WALL);
    assertEquals(WorkflowStatus.RUNNING, workflow.status());
    List<RunKey> second = startGang(workflow);
    workflow.recordEnd(second.get(2), RunOutcome.FAILED, "", WALL);
    assertEquals(WorkflowStatus.FAILED, workflow.status());
  }

  /**
   * A gang completed on two VMs. The worker of one crashed before it reported the end, so that
   * member counted as lost; the delayed end of the other reported completion. Guards against a
   * workflow that stays half done, and whose further attempts fail together with everything that
   * waits behind it.
   */
  @Test
  void completionOfOneMemberCompletesAMemberThatWasLost() {
    WorkflowSpec spec = WorkflowFixtures.spec(WorkflowFixtures.gang(3, 100, false));
    for (int lost = 0; lost < 3; lost++) {
      Workflow workflow = Workflow.of(spec);
      List<RunKey> runs = startGang(workflow);
      workflow.recordEnd(runs.get(lost), RunOutcome.LOST, "", WALL);
      workflow.recordEnd(runs.get((lost + 1) % 3), RunOutcome.DONE, "", WALL);
      assertEquals(WorkflowStatus.DONE, workflow.status(), "lost: member " + lost);
      assertTrue(workflow.tasks().stream().allMatch(WorkflowTask::isDone));
      assertTrue(workflow.openTasks().isEmpty());
      assertEquals(0.0, workflow.remainingWork());
      assertEquals(WorkflowStatus.DONE, Workflow.restore(spec, workflow.record()).status());
    }
  }

  /** An owner dies while it stops the rest of a broken gang; the next owner must stop it. */
  @Test
  void nextOwnerStopsTheRestOfABrokenGang() {
    WorkflowSpec spec = WorkflowFixtures.spec(WorkflowFixtures.gang(3, 100, false));
    Workflow workflow = Workflow.of(spec);
    List<RunKey> runs = startGang(workflow);
    Workflow whole = Workflow.restore(spec, workflow.record());
    assertTrue(whole.openTasks().stream().noneMatch(WorkflowTask::isStopRequested));
    workflow.recordEnd(runs.get(0), RunOutcome.LOST, "", WALL);
    Workflow broken = Workflow.restore(spec, workflow.record());
    assertEquals(2, broken.openTasks().size());
    assertTrue(broken.openTasks().stream().allMatch(WorkflowTask::isStopRequested));
  }

  /**
   * An owner dies at any time and another continues from the last durable record. Guards against
   * losing an open attempt or reusing an attempt number.
   */
  @Property(tries = 200)
  void restoredWorkflowMatchesItsRecord(@ForAll List<@IntRange(min = 0, max = 4) Integer> steps) {
    WorkflowSpec spec =
        WorkflowFixtures.spec(
            WorkflowFixtures.step(2, 100, StepSpec.TaskTraits.PLAIN),
            WorkflowFixtures.step(2, 100, WorkflowFixtures.bestEffort(), 0));
    Workflow workflow = Workflow.of(spec);
    for (int choice : steps) {
      advance(workflow, choice);
      Workflow restored = Workflow.restore(spec, workflow.record());
      assertEquals(workflow.record(), restored.record());
      assertEquals(ready(workflow, WALL), ready(restored, WALL));
      assertEquals(
          workflow.openTasks().stream().map(WorkflowTask::openRun).toList(),
          restored.openTasks().stream().map(WorkflowTask::openRun).toList());
    }
  }

  private static void advance(Workflow workflow, int choice) {
    List<WorkflowTask> open = workflow.openTasks();
    if (choice > 1 && !open.isEmpty()) {
      RunOutcome outcome = choice == 2 ? RunOutcome.DONE : RunOutcome.LAPSED;
      workflow.recordEnd(open.get(0).openRun(), outcome, "checkpoint-" + choice, WALL);
      return;
    }
    List<TaskKey> ready = ready(workflow, WALL);
    if (!ready.isEmpty()) {
      workflow.startAttempt(workflow.task(ready.get(0)).orElseThrow(), WorkflowFixtures.PLACE);
    }
  }
}
